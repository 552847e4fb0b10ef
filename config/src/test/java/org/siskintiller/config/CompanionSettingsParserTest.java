package org.siskintiller.config;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.siskintiller.core.model.Address;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Guards against a companion that starts with settings other than those in its file, or with invalid ones. */
class CompanionSettingsParserTest {
    private static final String FILE = "companion.ini";
    private static final String VALID =
            """
            [companion]
            instance = i1
            failure_domain = a
            http = 127.0.0.1:7001
            peer = 127.0.0.1:7002
            [log]
            address = 127.0.0.1:7000
            [peers]
            127.0.0.1:7102 = 127.0.0.1:9102
            127.0.0.1:7202=127.0.0.1:9202
            """;

    @Test
    void readsTranslationsAndDefaults() {
        CompanionSettings settings =
                ((Parsed.Ok<CompanionSettings>) CompanionSettingsParser.parse(FILE, VALID)).value();

        assertThat(settings.limits()).isEqualTo(CompanionSettings.Limits.DEFAULT);
        assertThat(settings.translate(new Address("127.0.0.1", 7202))).isEqualTo(new Address("127.0.0.1", 9202));
        assertThat(settings.translate(new Address("127.0.0.1", 7302))).isEqualTo(new Address("127.0.0.1", 7302));
    }

    static Stream<Arguments> invalidTexts() {
        return Stream.of(
                invalidText("[log]", "[logs]\n[log]", "logs", "", "is not a known section"),
                invalidText("[log]", "[limits]\nmax = 1\n[log]", "limits", "max", "is not a known key"),
                invalidText("[log]", "[limits]\nmax_callers = 0\n[log]", "limits", "max_callers", "0 is out of range"),
                invalidText("instance = i1", "", "companion", "instance", "has no value"),
                invalidText(
                        "failure_domain = a",
                        "failure_domain = a b",
                        "companion",
                        "failure_domain",
                        "'a b' is not a name"),
                invalidText("[log]\naddress = 127.0.0.1:7000", "", "log", "address", "has no value"),
                invalidText(
                        "= 127.0.0.1:7001",
                        "= localhost:7001",
                        "companion",
                        "http",
                        "'localhost:7001' is not an IP number and port"),
                invalidText(
                        "= 127.0.0.1:7001",
                        "= 127.0.0.256:1",
                        "companion",
                        "http",
                        "'127.0.0.256:1' is not an IP number and port"),
                invalidText(
                        "= 127.0.0.1:7001",
                        "= 127.0.0.1:70000",
                        "companion",
                        "http",
                        "'127.0.0.1:70000' is not an IP number and port"),
                invalidText(
                        "127.0.0.1:7202=",
                        "127.0.0.1:7102=",
                        "peers",
                        "127.0.0.1:7102",
                        "is translated more than once"),
                invalidText(
                        "127.0.0.1:7202=127.0.0.1:9202",
                        "127.0.0.1:7202",
                        "peers",
                        "127.0.0.1:7202",
                        "is not a translation"));
    }

    @ParameterizedTest
    @MethodSource("invalidTexts")
    void reportsProblem(String original, String replacement, ConfigProblem expected) {
        assertThat(VALID).contains(original);
        Parsed<CompanionSettings> parsed = CompanionSettingsParser.parse(FILE, VALID.replace(original, replacement));

        List<ConfigProblem> problems = ((Parsed.Invalid<CompanionSettings>) parsed).problems();
        assertThat(problems).hasSize(1);
        ConfigProblem actual = problems.get(0);
        assertThat(actual.remedy()).isNotEmpty();
        assertThat(new ConfigProblem(actual.file(), actual.section(), actual.key(), actual.problem(), ""))
                .isEqualTo(expected);
    }

    private static Arguments invalidText(
            String original, String replacement, String section, String key, String problem) {
        return arguments(original, replacement, new ConfigProblem(FILE, section, key, problem, ""));
    }
}
