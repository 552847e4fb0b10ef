package org.siskintiller.integration;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a non-idempotent request that runs twice when its caller resends it after the loss of its owner. */
class AtMostOnceTest {
    @TempDir
    private Path directory;

    @Test
    @Tag("known-red")
    void resentRequestsRunOnceWhileOwnersAreKilled() throws Exception {
        try (TestCluster cluster = new TestCluster(directory)) {
            List<TestInstance> instances = cluster.startInstances(TestCluster.NOT_IDEMPOTENT, 5);
            List<TestInstance> remaining = new ArrayList<>(instances);
            CallerRun caller = cluster.startCaller(
                    List.of(instances.get(0), instances.get(4)),
                    "service = registry",
                    "method = POST",
                    "rate = 100",
                    "customer = growers",
                    "deadline_ms = 1000",
                    "idempotency_keys = true",
                    "resends = 8",
                    "resend_delay_ms = 300",
                    "repeats = 0.2",
                    "body_bytes = 200");
            caller.awaitSends(200);
            for (int victim = 1; victim <= 2; victim++) {
                instances.get(victim).kill();
                remaining.remove(instances.get(victim));
                caller.awaitSends(100);
                cluster.awaitServing(remaining);
            }
            caller.awaitSends(200);
            Map<String, CallerRun.Result> results = caller.finish();

            List<Commit> commits = Journals.commits(instances);
            assertThat(Journals.duplicateCommits(commits)).isEmpty();
            Set<String> committed = commits.stream().map(Commit::idempotencyKey).collect(Collectors.toSet());
            List<CallerRun.Result> succeeded = results.values().stream()
                    .filter(CallerRun.Result::succeeded)
                    .toList();
            assertThat(succeeded.size()).isGreaterThan(200);
            assertThat(succeeded.stream()
                            .filter(result -> !committed.contains(result.idempotencyKey()))
                            .limit(5)
                            .toList())
                    .isEmpty();
        }
    }
}
