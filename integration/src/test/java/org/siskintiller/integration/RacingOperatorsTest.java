package org.siskintiller.integration;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/** Guards against concurrent changes of two operators that both take effect, or that reach only some companions. */
class RacingOperatorsTest {
    private static final int EXIT_OK = 0;
    private static final int EXIT_CONFLICT = 4;
    private static final long MAX_APPLY_MS = 5_000;

    @TempDir
    private Path directory;

    @Test
    void oneWinsAndTheOtherIsToldOfTheConflict() throws Exception {
        try (TestCluster cluster = new TestCluster(directory)) {
            List<TestInstance> instances = cluster.startInstances(TestCluster.KEYED, 3);
            ChildProcess first = publish(cluster, "alice", 7);
            ChildProcess second = publish(cluster, "bob", 9);
            List<TestCluster.CtlResult> results = List.of(TestCluster.finishCtl(first), TestCluster.finishCtl(second));
            assertThat(results.stream().map(TestCluster.CtlResult::exitCode).toList())
                    .containsExactly(EXIT_OK, EXIT_CONFLICT);
            Await.until("all companions apply the published version", MAX_APPLY_MS, () -> {
                for (TestInstance instance : instances) {
                    if (TestCluster.status(instance.http())
                                    .path("configVersion")
                                    .asLong()
                            != 2) {
                        return false;
                    }
                }
                return true;
            });
            // The refused change may be in the log, but must not produce a further version.
            assertThat(cluster.ctl("config", "show").json().findValue("version").asLong())
                    .isEqualTo(2);
        }
    }

    private ChildProcess publish(TestCluster cluster, String operator, int weight) throws Exception {
        Path file = directory.resolve(operator + ".ini");
        String text = Files.readString(directory.resolve("cluster.ini"));
        Files.writeString(file, text.replaceFirst("weight = 1", "weight = " + weight));
        return cluster.startCtl("config", "publish", "--base", "1", "--operator", operator, file.toString());
    }
}
