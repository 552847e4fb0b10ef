package org.siskintiller.integration;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against an owner that resumes after a pause and still executes requests of slots that others took over. */
class PausedOwnerTest {
    private static final int KEYS = 6;
    private static final long REJOIN_MS = 40_000;

    @TempDir
    private Path directory;

    @Test
    @Tag("known-red")
    void oldOwnerCommitsNothingAfterTheNewOne() throws Exception {
        try (TestCluster cluster = new TestCluster(directory)) {
            List<TestInstance> instances = cluster.startInstances(TestCluster.KEYED, 4);
            TestInstance paused = instances.get(1);
            List<TestInstance> others = new ArrayList<>(instances);
            others.remove(paused);
            CallerRun caller = cluster.startCaller(
                    instances,
                    "service = lookup",
                    "keys = uniform:100",
                    "key_prefix = key-",
                    "rate = 150",
                    "customer = growers",
                    "deadline_ms = 1000");
            caller.awaitSends(150);
            List<String> keys = cluster.keysOf(paused, KEYS);
            String incarnation =
                    TestCluster.status(paused.http()).path("incarnation").asText();

            paused.companion().pause();
            try (KeyPoller poller = new KeyPoller(others, keys)) {
                poller.awaitServed();
            }
            paused.companion().resume();
            // Requests still reach the previous owner until it detects that its session was ended.
            caller.awaitSends(300);
            Await.until(
                    "the paused companion has a new incarnation with a lease",
                    REJOIN_MS,
                    () -> !TestCluster.status(paused.http())
                                    .path("incarnation")
                                    .asText()
                                    .equals(incarnation)
                            && TestCluster.status(paused.http())
                                    .path("lease")
                                    .path("held")
                                    .asBoolean());
            cluster.awaitServing(instances);
            caller.finish();

            List<Commit> commits = Journals.commits(instances);
            assertThat(Journals.ownershipViolations(commits)).isEmpty();
            for (String key : keys) {
                assertWithMessage(key)
                        .that(commits.stream()
                                .filter(commit -> commit.key().equals(key))
                                .anyMatch(commit -> !commit.server().equals(paused.name())))
                        .isTrue();
            }
        }
    }
}
