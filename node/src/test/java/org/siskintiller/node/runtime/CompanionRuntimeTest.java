package org.siskintiller.node.runtime;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.siskintiller.config.CompanionSettings;
import org.siskintiller.config.CompanionSettings.Limits;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Three companions of two services in one process, with a log in memory and loopback sockets. */
@Timeout(90)
class CompanionRuntimeTest {
    private static final long START_LIMIT_MS = 30_000;
    /** Planned moves follow each other within this time. */
    private static final long PLACEMENT_SETTLED_MS = 1_000;

    private final MemoryLog log = new MemoryLog();
    private final List<CompanionRuntime> companions = new ArrayList<>();
    private final List<FakeBackend> backends = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @BeforeEach
    void start() throws Exception {
        log.publish(new LogRecord.ConfigPublished(0, config(), "test"));
        for (String service : List.of("lookup", "lookup", "desk")) {
            add(service);
        }
        await(0, "/lookup/x", "k");
        await(0, "/desk/x", null);
        awaitPlacement();
    }

    /** Waits until both companions of the keyed service own slots and no more slots move. */
    private void awaitPlacement() throws Exception {
        long endMs = System.currentTimeMillis() + START_LIMIT_MS;
        String placement = "";
        long sinceMs = System.currentTimeMillis();
        while (System.currentTimeMillis() - sinceMs < PLACEMENT_SETTLED_MS || placement.contains("[0]")) {
            assertWithMessage("slots still move: " + placement)
                    .that(System.currentTimeMillis())
                    .isLessThan(endMs);
            Thread.sleep(50);
            String next = ownedSlots(0) + ownedSlots(1);
            if (!next.equals(placement)) {
                placement = next;
                sinceMs = System.currentTimeMillis();
            }
        }
    }

    private String ownedSlots(int companion) throws Exception {
        String status = send(request(companion, "/_siskin/status", null)).body();
        Matcher matcher = Pattern.compile("\"ownedSlots\"\\s*:\\s*(\\d+)").matcher(status);
        return matcher.find() ? "[" + matcher.group(1) + "]" : "[0]";
    }

    private void add(String service) throws Exception {
        int number = companions.size();
        CompanionSettings settings = new CompanionSettings(
                "i" + number,
                "domain" + number,
                new Address("127.0.0.1", 0),
                new Address("127.0.0.1", 0),
                new Address("127.0.0.1", 1),
                new Limits(16_384, 1L << 30, 10_000, 64, 10_000),
                List.of());
        CompanionRuntime companion = new CompanionRuntime(settings, log);
        companions.add(companion);
        companion.start();
        FakeBackend backend = new FakeBackend(service);
        backends.add(backend);
        backend.announce(client, companion.callerAddress(), false);
    }

    private static ClusterConfig config() {
        RankLimits limits = new RankLimits("standard", 50, 100, 5000);
        return new ClusterConfig(
                List.of(
                        new ServiceConfig("lookup", true, true, true, 16, 1, 2000, "standard", 600_000),
                        new ServiceConfig("desk", false, false, true, 16, 1, 2000, "standard", 600_000)),
                List.of(new RankConfig("standard", 0, 200)),
                List.of(),
                List.of(new PresetConfig("ordinary", List.of(limits), 1000, 10, 0.5, 1, 1)),
                "ordinary");
    }

    @AfterEach
    void stop() {
        companions.forEach(CompanionRuntime::close);
        backends.forEach(FakeBackend::close);
    }

    private HttpRequest.Builder request(int companion, String path, String key) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(
                        URI.create("http://" + companions.get(companion).callerAddress() + path))
                .timeout(Duration.ofSeconds(20));
        if (key != null) {
            builder.header("Siskin-Key", key);
        }
        return builder;
    }

    private HttpResponse<String> send(HttpRequest.Builder builder) throws IOException, InterruptedException {
        return client.send(builder.build(), BodyHandlers.ofString());
    }

    /** Retries a request until it succeeds, as a caller does while the companions start. */
    private void await(int companion, String path, String key) throws Exception {
        long endMs = System.currentTimeMillis() + START_LIMIT_MS;
        HttpResponse<String> last;
        do {
            last = send(request(companion, path, key));
            if (last.statusCode() == 200) {
                return;
            }
            Thread.sleep(20);
        } while (System.currentTimeMillis() < endMs);
        assertWithMessage(last.body()).that(last.statusCode()).isEqualTo(200);
    }

    private Set<Integer> backendsThatRan(String key) {
        Set<Integer> ran = new HashSet<>();
        for (int i = 0; i < backends.size(); i++) {
            for (String line : backends.get(i).executed) {
                if (line.startsWith(key + " ")) {
                    ran.add(i);
                }
            }
        }
        return ran;
    }

    /** Guards against two backend servers that serve the same key, depending on the companion that gets the request. */
    @Test
    void sameOwnerThroughAnyCompanion() throws Exception {
        for (int i = 0; i < 20; i++) {
            for (int companion = 0; companion < 3; companion++) {
                await(companion, "/lookup/x", "key" + i);
            }
            assertThat(backendsThatRan("key" + i)).hasSize(1);
        }
        assertThat(backends.get(2).executed.stream().noneMatch(line -> line.startsWith("key")))
                .isTrue();
    }

    /** Guards against bodies that are changed or truncated when a companion forwards them. */
    @Test
    @Tag("known-red")
    void largeBodiesArriveWhole() throws Exception {
        byte[] body = new byte[2_000_000];
        new Random(4).nextBytes(body);
        for (int companion = 0; companion < 2; companion++) {
            for (String path : List.of("/lookup/echo", "/lookup/chunked")) {
                HttpResponse<byte[]> response = client.send(
                        request(companion, path, "k")
                                .PUT(BodyPublishers.ofByteArray(body))
                                .build(),
                        BodyHandlers.ofByteArray());
                assertThat(response.statusCode()).isEqualTo(200);
                assertThat(response.body()).isEqualTo(body);
            }
        }
    }

    /** Guards against an aborted response that looks complete to the caller. */
    @Test
    void abortedResponseBreaksTheConnection() {
        for (int companion = 0; companion < 2; companion++) {
            int from = companion;
            assertThrows(IOException.class, () -> send(request(from, "/lookup/cut/chunked", "k")));
            assertThrows(IOException.class, () -> send(request(from, "/lookup/cut/fixed", "k")));
        }
    }

    /** Guards against a refusal without a reason, or with a wrong outcome of the request. */
    @Test
    void refusalsStateTheOutcome() throws Exception {
        HttpResponse<String> unknown = send(request(0, "/nowhere/x", "k"));
        assertThat(unknown.statusCode()).isEqualTo(404);
        assertThat(unknown.headers().firstValue("Content-Type")).hasValue("application/problem+json");
        assertThat(unknown.body()).contains("\"outcome\":\"not-run\"");
        HttpResponse<String> refused = send(request(0, "/lookup/refuse", "k").header("Siskin-Deadline-Ms", "300"));
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.headers().firstValue("Siskin-Outcome")).hasValue("not-run");
    }

    /** Guards against a request that runs twice when its caller sends it again, through another companion. */
    @Test
    void repeatDoesNotRunAgain() throws Exception {
        String key = Ids.uuidVersion7(System.currentTimeMillis());
        for (int companion = 0; companion < 3; companion++) {
            HttpResponse<String> response = send(request(companion, "/desk/order", null)
                    .header("Idempotency-Key", key)
                    .POST(BodyPublishers.ofString("one commission")));
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("one commission");
        }
        long runs = backends.get(2).executed.stream()
                .filter(line -> line.endsWith(key))
                .count();
        assertThat(runs).isEqualTo(1);
    }

    /** Guards against a repeat that gets a response without its body, which would look complete. */
    @Test
    void repeatOfLargeResponseReportsThatItRan() throws Exception {
        String key = Ids.uuidVersion7(System.currentTimeMillis());
        for (int send = 0; send < 2; send++) {
            HttpResponse<String> response = send(request(0, "/desk/order", null)
                    .header("Idempotency-Key", key)
                    .POST(BodyPublishers.ofString("x".repeat(100_000))));
            if (send == 0) {
                assertThat(response.body()).hasLength(100_000);
            } else {
                assertThat(response.statusCode()).isEqualTo(409);
                assertThat(response.headers().firstValue("Siskin-Outcome")).hasValue("ran");
            }
        }
        long runs = backends.get(2).executed.stream()
                .filter(line -> line.endsWith(key))
                .count();
        assertThat(runs).isEqualTo(1);
    }

    /** Guards against a planned stop that aborts a request or leaves keys without an owner. */
    @Test
    void gracefulStopHandsKeysOver() throws Exception {
        await(0, "/lookup/x", "before");
        companions.get(0).stop("test");
        assertThat(companions.get(0).awaitEnd()).isTrue();
        for (int i = 0; i < 10; i++) {
            await(1, "/lookup/x", "after" + i);
            assertThat(backendsThatRan("after" + i)).containsExactly(1);
        }
    }

    /** Guards against operator pages that fail or lack a field that the operator's tool reads. */
    @Test
    void operatorPagesRespond() throws Exception {
        String status = send(request(0, "/_siskin/status", null)).body();
        assertThat(status).contains("\"held\":true");
        assertThat(status).contains("\"configVersion\":1");
        assertThat(send(request(0, "/_siskin/owner?service=lookup&key=k", null)).body())
                .contains("\"owner\":{");
        assertThat(send(request(0, "/_siskin/metrics", null)).body())
                .contains("siskintiller_requests_standard_seconds");
        assertThat(send(request(0, "/_siskin/health", null)).statusCode()).isEqualTo(200);
        assertThat(send(request(0, "/_siskin/owner?service=none&key=k", null)).statusCode())
                .isEqualTo(404);
        assertThat(new String(status.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8))
                .isEqualTo(status);
    }
}
