package org.siskintiller.integration;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against requests that reach a server other than the owner, mixed-up responses and late configuration. */
class WholePathTest {
    private static final int KEYS = 40;
    private static final long MAX_APPLY_MS = 5_000;

    @TempDir
    private Path directory;

    @Test
    @Tag("known-red")
    void servesEachKeyAtItsOwnerThroughEveryCompanion() throws Exception {
        try (TestCluster cluster = new TestCluster(directory)) {
            List<TestInstance> instances = cluster.startInstances(TestCluster.KEYED, 3);
            Map<String, CompletableFuture<Http.Reply>> replies = new HashMap<>();
            for (int key = 0; key < KEYS; key++) {
                for (TestInstance instance : instances) {
                    String tag = "key-" + key + "/" + instance.name();
                    replies.put(tag, Http.lookup(instance.http(), "key-" + key, tag));
                }
            }
            for (Map.Entry<String, CompletableFuture<Http.Reply>> entry : replies.entrySet()) {
                Http.Reply reply = entry.getValue().join();
                assertWithMessage(entry.getKey() + " " + reply)
                        .that(reply.status())
                        .isEqualTo(200);
                assertThat(reply.text("tag")).isEqualTo(entry.getKey());
                assertThat(entry.getKey()).startsWith(reply.text("key") + "/");
            }
            List<Commit> commits = Journals.commits(instances);
            assertThat(commits).hasSize(KEYS * instances.size());
            assertThat(Journals.ownershipViolations(commits)).isEmpty();
            Map<String, String> servers = new HashMap<>();
            for (Commit commit : commits) {
                String earlierServer = servers.putIfAbsent(commit.key(), commit.server());
                assertThat(earlierServer == null ? commit.server() : earlierServer)
                        .isEqualTo(commit.server());
                assertThat(replies.get(commit.tag()).join().text("execution")).isEqualTo(commit.execution());
            }
            assertThat(servers.values().stream().distinct().count()).isEqualTo(instances.size());
        }
    }

    @Test
    void putsASwitchedPresetInForceOnAllCompanions() throws Exception {
        try (TestCluster cluster = new TestCluster(directory)) {
            List<TestInstance> instances = cluster.startInstances(TestCluster.KEYED, 3);
            assertThat(cluster.ctl("preset", "switch", "--operator", "tester", "peak")
                            .exitCode())
                    .isEqualTo(0);
            Await.until("the preset is in force everywhere", MAX_APPLY_MS, () -> {
                for (TestInstance instance : instances) {
                    if (!TestCluster.status(instance.http())
                            .path("activePreset")
                            .asText()
                            .equals("peak")) {
                        return false;
                    }
                }
                return true;
            });
        }
    }
}
