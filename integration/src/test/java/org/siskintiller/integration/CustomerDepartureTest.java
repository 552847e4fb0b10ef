package org.siskintiller.integration;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a proof of departure while the customer's requests may still run, and against a departure that is
 * never proved.
 */
class CustomerDepartureTest {
    private static final int EXIT_OK = 0;
    private static final int EXIT_NOT_PROVED = 8;

    @TempDir
    private Path directory;

    @Test
    void provesThatTheTrafficHasStopped() throws Exception {
        try (TestCluster cluster = new TestCluster(directory)) {
            List<TestInstance> instances = cluster.startInstances(TestCluster.KEYED, 3);
            CallerRun caller = startAnalysts(cluster, instances);
            TestCluster.CtlResult proof = depart(cluster, "20000");
            long provedNs = System.nanoTime();
            assertWithMessage(proof.toString()).that(proof.exitCode()).isEqualTo(EXIT_OK);
            assertThat(proof.json().path("sessions")).hasSize(instances.size());
            caller.awaitSends(100);
            caller.finish();
            assertThat(Journals.commits(instances).stream()
                            .filter(commit -> commit.customer().equals("analysts"))
                            .filter(commit -> commit.endNs() > provedNs)
                            .toList())
                    .isEmpty();
        }
    }

    /** Pauses two of three companions: witnesses would end the session of a single one, which is evidence too. */
    @Test
    @Tag("known-red")
    void namesPausedCompanionsAndClaimsNoProof() throws Exception {
        try (TestCluster cluster = new TestCluster(directory)) {
            List<TestInstance> instances = cluster.startInstances(TestCluster.KEYED, 3);
            List<TestInstance> paused = instances.subList(1, 3);
            for (TestInstance instance : paused) {
                instance.companion().pause();
            }
            TestCluster.CtlResult proof = depart(cluster, "2000");
            for (TestInstance instance : paused) {
                instance.companion().resume();
            }
            assertWithMessage(proof.toString()).that(proof.exitCode()).isEqualTo(EXIT_NOT_PROVED);
            List<String> withoutEvidence = new ArrayList<>();
            for (JsonNode session : proof.json().path("sessions")) {
                if (session.path("evidence").asText().equals("missing")) {
                    withoutEvidence.add(session.path("session").asText().replaceFirst("/.*", ""));
                }
            }
            assertThat(withoutEvidence)
                    .containsAtLeast(paused.get(0).name(), paused.get(1).name());

            TestCluster.CtlResult repeated = depart(cluster, "40000");
            assertWithMessage(repeated.toString()).that(repeated.exitCode()).isEqualTo(EXIT_OK);
        }
    }

    private static CallerRun startAnalysts(TestCluster cluster, List<TestInstance> targets) throws Exception {
        CallerRun caller = cluster.startCaller(
                targets,
                "service = lookup",
                "keys = uniform:100",
                "key_prefix = key-",
                "rate = 100",
                "customer = analysts",
                "deadline_ms = 1000");
        caller.awaitSends(100);
        return caller;
    }

    private static TestCluster.CtlResult depart(TestCluster cluster, String waitMs) throws Exception {
        return cluster.ctl("depart", "analysts", "--operator", "tester", "--wait-ms", waitMs);
    }
}
