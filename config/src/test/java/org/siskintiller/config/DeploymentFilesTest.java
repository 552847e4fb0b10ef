package org.siskintiller.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.PresetConfig;

import static com.google.common.truth.Truth.assertThat;

/** Guards against deployment files that a companion or the operator's tool would reject. */
class DeploymentFilesTest {
    private static final Path DEPLOY = Path.of("..", "deploy");

    @ParameterizedTest
    @ValueSource(strings = {"landesstelle", "kitamura"})
    void clusterConfigIsValidAndHasAllPresets(String deployment) throws IOException {
        Path file = DEPLOY.resolve(deployment).resolve("cluster.ini");
        Parsed<ClusterConfig> parsed = ClusterConfigParser.parse(file.toString(), Files.readString(file));

        assertThat(parsed).isInstanceOf(Parsed.Ok.class);
        ClusterConfig config = ((Parsed.Ok<ClusterConfig>) parsed).value();
        assertThat(config.presets().stream().map(PresetConfig::name))
                .containsExactly("ordinary", "peak", "maintenance");
        assertThat(config.ranks().stream().map(rank -> rank.name())).containsExactly("urgent", "standard", "bulk");
    }

    @ParameterizedTest
    @CsvSource({"landesstelle,15,4", "kitamura,11,3"})
    void companionsHaveDistinctAddressesAndCoverAllFailureDomains(
            String deployment, int companionCount, int failureDomainCount) throws IOException {
        Set<String> addresses = new HashSet<>();
        Set<String> failureDomains = new HashSet<>();
        for (Path file : files(DEPLOY.resolve(deployment).resolve("companions"))) {
            Parsed<CompanionSettings> parsed = CompanionSettingsParser.parse(file.toString(), Files.readString(file));
            assertThat(parsed).isInstanceOf(Parsed.Ok.class);
            CompanionSettings settings = ((Parsed.Ok<CompanionSettings>) parsed).value();
            addresses.add(settings.http().toString());
            addresses.add(settings.peer().toString());
            failureDomains.add(settings.failureDomain());
        }
        assertThat(addresses).hasSize(2 * companionCount);
        assertThat(failureDomains).hasSize(failureDomainCount);
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted().toList();
        }
    }
}
