package org.siskintiller.integration;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against planned stops that interrupt requests, send work to a leaving backend server or fail callers. */
class PlannedStopTest {
    private static final long STOP_TIMEOUT_MS = 40_000;
    private static final long MAX_WORK_AFTER_STOP_NS = TimeUnit.SECONDS.toNanos(3);
    private static final String[] LOAD = {
        "service = lookup",
        "keys = uniform:200",
        "key_prefix = key-",
        "rate = 120",
        "customer = growers",
        "deadline_ms = 2000",
        "resends = 20",
        "resend_delay_ms = 100"
    };

    @TempDir
    private Path directory;

    @Test
    @Tag("known-red")
    void stopsOneInstanceUnderLoad() throws Exception {
        try (TestCluster cluster = new TestCluster(directory)) {
            List<TestInstance> instances = cluster.startInstances(TestCluster.KEYED, 4);
            TestInstance leaving = instances.get(1);
            List<TestInstance> others = new ArrayList<>(instances);
            others.remove(leaving);
            CallerRun caller = cluster.startCaller(others, LOAD);
            caller.awaitSends(120);

            long stopNs = System.nanoTime();
            leaving.companion().terminate();
            assertThat(leaving.companion().awaitExit(STOP_TIMEOUT_MS)).isEqualTo(0);
            caller.awaitSends(120);
            cluster.awaitServing(others);
            assertResults(caller);

            assertThat(leaving.companion().output()).doesNotContain("SIS-1005");
            List<Commit> commits = Journals.commits(instances);
            assertThat(Journals.ownershipViolations(commits)).isEmpty();
            assertThat(commits.stream()
                            .filter(commit -> commit.server().equals(leaving.name()))
                            .filter(commit -> commit.startNs() - stopNs > MAX_WORK_AFTER_STOP_NS)
                            .toList())
                    .isEmpty();
        }
    }

    @Test
    @Tag("known-red")
    void replacesAllInstancesUnderLoad() throws Exception {
        try (TestCluster cluster = new TestCluster(directory)) {
            List<TestInstance> instances = new ArrayList<>(cluster.startInstances(TestCluster.KEYED, 3));
            // The instance that the caller sends to stays; each of the others is replaced.
            assertThat(cluster.ctl("preset", "switch", "--operator", "tester", "maintenance")
                            .exitCode())
                    .isEqualTo(0);
            TestInstance entry = cluster.startInstance("entry", "domain-0", TestCluster.KEYED, List.of());
            instances.add(entry);
            cluster.awaitServing(instances);
            CallerRun caller = cluster.startCaller(List.of(entry), LOAD);
            caller.awaitSends(120);
            for (int i = 0; i < 3; i++) {
                TestInstance leaving = instances.remove(0);
                leaving.companion().terminate();
                assertWithMessage(leaving.name())
                        .that(leaving.companion().awaitExit(STOP_TIMEOUT_MS))
                        .isEqualTo(0);
                leaving.backend().kill();
                instances.add(
                        cluster.startInstance("replaced-" + i, leaving.failureDomain(), TestCluster.KEYED, List.of()));
                cluster.awaitServing(instances);
            }
            assertResults(caller);
            assertThat(Journals.ownershipViolations(Journals.commits(cluster.all())))
                    .isEmpty();
        }
    }

    /** Checks that every request succeeded, possibly after refusals as not run, and that no send was interrupted. */
    private static void assertResults(CallerRun caller) throws Exception {
        var results = caller.finish().values();
        assertThat(results).isNotEmpty();
        assertThat(results.stream()
                        .filter(result -> !result.succeeded())
                        .limit(5)
                        .toList())
                .isEmpty();
        assertThat(results.stream()
                        .flatMap(result -> result.sendsWithUnknownOutcome().stream())
                        .limit(5)
                        .toList())
                .isEmpty();
    }
}
