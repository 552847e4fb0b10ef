package org.siskintiller.config;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.siskintiller.core.model.ClusterConfig;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/** Guards against errors in a published configuration that are accepted or reported for the wrong section or key. */
class ClusterConfigParserTest {
    private static final String FILE = "cluster.ini";
    private static final String VALID =
            """
            [cluster]
            active_preset = ordinary
            [service lookup]
            keyed = true
            idempotent = true
            checks_fence = false
            longest_request_ms = 500
            default_rank = urgent
            [rank urgent]
            order = 0
            target_ms = 50
            [rank bulk]
            order = 1
            target_ms = 5000
            [customer growers]
            weight = 2
            [preset ordinary]
            hot_key_share = 0.2
            [preset ordinary rank urgent]
            guaranteed_share_percent = 60
            [preset ordinary rank bulk]
            guaranteed_share_percent = 40
            """;

    @Nested
    class ValidText {

        @Test
        void appliesDocumentedDefaults() {
            ClusterConfig config = ((Parsed.Ok<ClusterConfig>) ClusterConfigParser.parse(FILE, VALID)).value();

            assertThat(config.services().get(0).slots()).isEqualTo(256);
            assertThat(config.services().get(0).standbys()).isEqualTo(2);
            assertThat(config.services().get(0).idempotencyWindowMs()).isEqualTo(600_000);
            assertThat(config.presets().get(0).maxMovesPerMinute()).isEqualTo(60);
            assertThat(config.presets().get(0).retryBudgetPercent()).isEqualTo(10);
            assertThat(config.presets().get(0).weightChurn()).isEqualTo(1.0);
            assertThat(config.presets().get(0).ranks().get(0).queueLimit()).isEqualTo(64);
            assertThat(config.presets().get(0).ranks().get(0).deadlineMs()).isEqualTo(1_000);
        }

        @Test
        void acceptsLongRequestsIfBackendServersCheckFences() {
            String text = VALID.replace("checks_fence = false", "checks_fence = true")
                    .replace("longest_request_ms = 500", "longest_request_ms = 5000");

            assertThat(ClusterConfigParser.parse(FILE, text)).isInstanceOf(Parsed.Ok.class);
        }
    }

    /** Each row: replaced text, replacement, and the one expected problem. */
    static Stream<Arguments> invalidTexts() {
        return Stream.of(
                invalidText("[customer growers]", "[client growers]", "client growers", "", "is not a known section"),
                invalidText("weight = 2", "wait = 2", "customer growers", "wait", "is not a known key"),
                invalidText(
                        "weight = 2", "weight = 2\nweight = 3", "customer growers", "weight", "occurs more than once"),
                invalidText(
                        "[customer growers]",
                        "[rank urgent]\n[customer growers]",
                        "rank urgent",
                        "",
                        "occurs more than once"),
                invalidText("keyed = true", "", "service lookup", "keyed", "has no value"),
                invalidText("keyed = true", "keyed", "service lookup", "keyed", "has no value"),
                invalidText(
                        "keyed = true", "keyed = yes", "service lookup", "keyed", "'yes' is neither true nor false"),
                invalidText("default_rank = urgent", "", "service lookup", "default_rank", "has no value"),
                invalidText(
                        "default_rank = urgent",
                        "default_rank = x",
                        "service lookup",
                        "default_rank",
                        "rank 'x' does not exist"),
                invalidText("target_ms = 50\n", "\n", "rank urgent", "target_ms", "has no value"),
                invalidText("target_ms = 50\n", "target_ms = 0\n", "rank urgent", "target_ms", "0 is out of range"),
                invalidText(
                        "target_ms = 50\n",
                        "target_ms = 5s\n",
                        "rank urgent",
                        "target_ms",
                        "'5s' is not a whole number"),
                invalidText(
                        "hot_key_share = 0.2",
                        "hot_key_share = 2",
                        "preset ordinary",
                        "hot_key_share",
                        "2 is out of range"),
                invalidText(
                        "hot_key_share = 0.2",
                        "hot_key_share = NaN",
                        "preset ordinary",
                        "hot_key_share",
                        "NaN is out of range"),
                invalidText(
                        "hot_key_share = 0.2",
                        "hot_key_share = x",
                        "preset ordinary",
                        "hot_key_share",
                        "'x' is not a number"),
                invalidText("order = 1", "order = 0", "rank bulk", "order", "0 is also the order of rank 'urgent'"),
                invalidText(
                        "= 60",
                        "= 61",
                        "preset ordinary",
                        "guaranteed_share_percent",
                        "the ranks' shares add up to 101"),
                invalidText("= ordinary", "= peak", "cluster", "active_preset", "preset 'peak' does not exist"),
                invalidText("active_preset = ordinary", "", "cluster", "active_preset", "has no value"),
                invalidText("[cluster]\nactive_preset = ordinary", "", "cluster", "active_preset", "has no value"),
                invalidText(
                        "[preset ordinary rank bulk]\nguaranteed_share_percent = 40",
                        "",
                        "preset ordinary",
                        "",
                        "rank 'bulk' has no limits"),
                invalidText(
                        "[cluster]",
                        "[preset ordinary rank x]\nguaranteed_share_percent = 0\n[cluster]",
                        "preset ordinary rank x",
                        "",
                        "rank 'x' does not exist"),
                invalidText(
                        "[cluster]",
                        "[preset x rank bulk]\nguaranteed_share_percent = 0\n[cluster]",
                        "preset x",
                        "",
                        "has rank limits but no section"),
                invalidText("[cluster]", "stray = 1\n[cluster]", "", "", "has keys before the first section"),
                invalidText(
                        "[customer growers]",
                        "[customer grow/ers]",
                        "customer grow/ers",
                        "",
                        "'grow/ers' is not a name"),
                invalidText(
                        "= 500",
                        "= 601",
                        "service lookup",
                        "longest_request_ms",
                        "601 is too long for a keyed service with checks_fence = false: a lost owner's keys would be served again after more than 2000 ms"));
    }

    @ParameterizedTest
    @MethodSource("invalidTexts")
    void reportsProblem(String original, String replacement, ConfigProblem expected) {
        assertThat(VALID).contains(original);
        List<ConfigProblem> problems = problems(VALID.replace(original, replacement));

        assertThat(problems).hasSize(1);
        assertThat(problems.get(0).remedy()).isNotEmpty();
        assertThat(problems.get(0).toString()).startsWith(FILE);
        assertThat(withoutRemedy(problems.get(0))).isEqualTo(expected);
    }

    @Test
    void reportsAllProblemsTogether() {
        List<ConfigProblem> problems = problems(VALID.replace("keyed = true", "keyed = 1")
                .replace("order = 1", "order = 0")
                .replace("= 60", "= 90")
                .replace("[customer growers]", "[client growers]"));

        assertThat(problems).hasSize(4);
    }

    @Test
    void reportsEmptyText() {
        assertThat(problems("").stream().map(ConfigProblem::problem))
                .containsExactly("has no value", "has no service", "has no rank", "has no preset");
    }

    @Test
    void reportsBrokenSectionLine() {
        List<ConfigProblem> problems = problems("[service lookup\nkeyed = true\n");

        assertThat(problems).hasSize(1);
        assertThat(problems.get(0).problem()).startsWith("cannot be read as INI: ");
    }

    private static Arguments invalidText(
            String original, String replacement, String section, String key, String problem) {
        return arguments(original, replacement, new ConfigProblem(FILE, section, key, problem, ""));
    }

    private static ConfigProblem withoutRemedy(ConfigProblem problem) {
        return new ConfigProblem(problem.file(), problem.section(), problem.key(), problem.problem(), "");
    }

    private static List<ConfigProblem> problems(String text) {
        return ((Parsed.Invalid<ClusterConfig>) ClusterConfigParser.parse(FILE, text)).problems();
    }
}
