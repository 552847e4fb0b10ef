package org.siskintiller.standin.backend;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.StandinClient;
import org.siskintiller.standin.http.HttpBodies;
import org.siskintiller.standin.http.StandinHttpServer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a backend stand-in that commits without a live grant or whose journal omits an execution. */
@Timeout(60)
class BackendStandinTest {
    private static final Address ANY_PORT = new Address("127.0.0.1", 0);
    private static final long GRANT_DURATION_MS = 1_000_000;

    private final AtomicBoolean crashed = new AtomicBoolean();
    private BackendStandin backend;
    private StandinClient client;

    @AfterEach
    void stop() throws IOException {
        backend.close();
    }

    private void start(boolean checksFence, String serviceTime, Address companion) throws IOException {
        BackendSettings settings = new BackendSettings(
                "s",
                2,
                130,
                0,
                checksFence,
                ServiceTimes.parse(List.of(serviceTime)),
                0,
                1,
                0,
                companion,
                null,
                20,
                null,
                100,
                1);
        backend = new BackendStandin(ANY_PORT, settings, () -> {
            crashed.set(true);
            throw new IllegalStateException("crash");
        });
        client = new StandinClient(backend.address());
    }

    /** Grants slot 5 and returns the server's clock. */
    private long grant(String companion, long version, long expiresAtMs) throws Exception {
        String slots = version == 0 ? "" : "{\"slot\":5,\"version\":" + version + ",\"candidateIndex\":0}";
        String body = "{\"companion\":\"" + companion + "\",\"expiresAtMs\":" + expiresAtMs + ",\"slots\":[" + slots
                + "],\"dropped\":[]}";
        HttpRequest.Builder put = client.request("/grants").PUT(HttpRequest.BodyPublishers.ofString(body));
        return client.json(put).path("clockMs").asLong();
    }

    private HttpRequest.Builder request(String key, String fence) {
        return client.request("/s/lookup")
                .header("Siskin-Key", key)
                .header("Siskin-Request-Id", "id-" + key)
                .header("Siskin-Slot", "5")
                .header("Siskin-Fence", fence)
                .header("X-Caller-Tag", "tag-" + key);
    }

    private void assertNotRun(HttpResponse<String> response, int status) {
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue("Siskin-Outcome")).hasValue("not-run");
    }

    private List<JsonNode> journal() throws Exception {
        ObjectMapper json = new ObjectMapper();
        List<JsonNode> entries = new ArrayList<>();
        for (String line : client.send(client.request("/journal")).body().split("\n")) {
            if (!line.isEmpty()) {
                entries.add(json.readTree(line));
            }
        }
        return entries;
    }

    private CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return client.send(request);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private void awaitExecution() throws Exception {
        while (journal().isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @Nested
    class Fences {

        @Test
        void requestWithoutGrantIsRefused() throws Exception {
            start(true, "fixed:0", null);
            assertNotRun(client.send(request("k", "1.0")), 409);
            assertNotRun(client.send(client.request("/s/lookup").header("Siskin-Key", "k")), 409);
            assertThat(journal()).isEmpty();
        }

        @Test
        void liveGrantServesOnlyItsFence() throws Exception {
            start(true, "fixed:0", null);
            long clockMs = grant("c", 2, 0);
            assertNotRun(client.send(request("k", "2.0")), 409);
            grant("c", 0, clockMs + GRANT_DURATION_MS);
            assertThat(client.send(request("k", "2.0")).statusCode()).isEqualTo(200);
            assertNotRun(client.send(request("k", "1.9")), 409);
            assertNotRun(client.send(request("k", "2.1")), 409);
        }

        @Test
        void olderFenceIsNotGrantedAgain() throws Exception {
            start(true, "fixed:0", null);
            long expiresAtMs = grant("c1", 2, 0) + GRANT_DURATION_MS;
            grant("c2", 3, expiresAtMs);
            grant("c1", 2, expiresAtMs);
            assertNotRun(client.send(request("k", "2.0")), 409);
            assertThat(client.send(request("k", "3.0")).statusCode()).isEqualTo(200);
        }

        @Test
        void grantLostWhileRunningAborts() throws Exception {
            start(true, "fixed:2000", null);
            long expiresAtMs = grant("c1", 2, 0) + GRANT_DURATION_MS;
            grant("c1", 2, expiresAtMs);
            CompletableFuture<HttpResponse<String>> response = sendAsync(request("k", "2.0"));
            awaitExecution();
            grant("c2", 3, expiresAtMs);
            assertNotRun(response.get(20, TimeUnit.SECONDS), 409);
            assertThat(journal().get(0).path("outcome").asText()).isEqualTo("aborted");
        }

        @Test
        void uncheckedServerServesWithoutGrant() throws Exception {
            start(false, "fixed:0", null);
            assertThat(client.send(request("k", "1.0")).statusCode()).isEqualTo(200);
        }
    }

    @Nested
    class Faults {

        @Test
        void frozenServerCommitsNothingUntilReleasedAndThenChecksTheDeadline() throws Exception {
            start(false, "fixed:0", null);
            CompletableFuture<HttpResponse<String>> response =
                    sendAsync(request("freeze-1", "1.0").header("Siskin-Deadline-Ms", "1500"));
            awaitExecution();
            CompletableFuture<HttpResponse<String>> load = sendAsync(client.request("/load"));
            assertThrows(TimeoutException.class, () -> load.get(1600, TimeUnit.MILLISECONDS));
            assertThat(journal().get(0).path("outcome").asText()).isEqualTo("running");
            client.setFaults("{\"frozen\":false}");
            assertNotRun(response.get(20, TimeUnit.SECONDS), 504);
            assertThat(load.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
            assertThat(journal().get(0).path("outcome").asText()).isEqualTo("aborted");
        }

        @Test
        void markedRequestCrashesTheServer() throws Exception {
            start(false, "fixed:0", null);
            assertThrows(IOException.class, () -> client.send(request("crash-1", "1.0")));
            assertThat(crashed.get()).isTrue();
            assertThat(journal().get(0).path("outcome").asText()).isEqualTo("crashed");
        }

        @Test
        void droppedResponseLeavesCommit() throws Exception {
            start(false, "fixed:0", null);
            client.setFaults("{\"dropAnswers\":1}");
            assertThrows(
                    IOException.class,
                    () -> client.send(request("k", "1.0").POST(HttpRequest.BodyPublishers.ofString("body"))));
            assertThat(journal().get(0).path("outcome").asText()).isEqualTo("committed");
        }

        @Test
        void shedRequestsDoNotRun() throws Exception {
            start(false, "fixed:0", null);
            client.setFaults("{\"shed\":1}");
            assertNotRun(client.send(request("k", "1.0")), 503);
            assertThat(journal()).isEmpty();
        }

        @Test
        void cancelledRequestDoesNotCommit() throws Exception {
            start(false, "fixed:30000", null);
            CompletableFuture<HttpResponse<String>> response = sendAsync(request("k", "1.0"));
            awaitExecution();
            assertThat(client.send(client.request("/requests/id-k").DELETE()).statusCode())
                    .isEqualTo(200);
            assertNotRun(response.get(20, TimeUnit.SECONDS), 503);
            assertThat(journal().get(0).path("reason").asText()).isEqualTo("cancelled");
        }

        @Test
        void loadReportCanBeWrong() throws Exception {
            start(false, "fixed:30000", null);
            sendAsync(request("k", "1.0"));
            awaitExecution();
            assertThat(client.json(client.request("/load")).path("running").asInt())
                    .isEqualTo(1);
            client.setFaults("{\"loadFactor\":7}");
            assertThat(client.json(client.request("/load")).path("running").asInt())
                    .isEqualTo(7);
            client.setFaults("{\"loadFactor\":1,\"loadLagMs\":59000}");
            assertThat(client.json(client.request("/load")).path("running").asInt())
                    .isEqualTo(0);
        }
    }

    @Nested
    class Responses {

        @Test
        void responseAndJournalContainTheRequest() throws Exception {
            start(false, "fixed:0", null);
            client.send(request("k", "4.1"));
            JsonNode response = client.json(request("k", "4.1")
                    .header("Idempotency-Key", "key-1")
                    .header("Siskin-Customer", "customer-1")
                    .header("Siskin-Rank", "urgent"));
            assertThat(response.path("key").asText()).isEqualTo("k");
            assertThat(response.path("tag").asText()).isEqualTo("tag-k");
            assertThat(response.path("version").asLong()).isEqualTo(2);
            JsonNode entry = journal().get(1);
            assertThat(entry.path("execution")).isEqualTo(response.path("execution"));
            assertThat(entry.path("requestId").asText()).isEqualTo("id-k");
            assertThat(entry.path("idempotencyKey").asText()).isEqualTo("key-1");
            assertThat(entry.path("slot").asInt()).isEqualTo(5);
            assertThat(entry.path("fence").asText()).isEqualTo("4.1");
            assertThat(entry.path("customer").asText()).isEqualTo("customer-1");
            assertThat(entry.path("rank").asText()).isEqualTo("urgent");
            assertThat(entry.path("endNs").asLong())
                    .isAtLeast(entry.path("startNs").asLong());
        }

        @Test
        void exportMatchesItsDigestUnlessTruncated() throws Exception {
            start(false, "fixed:0", null);
            HttpRequest export = client.request("/s/export?bytes=100000").build();
            HttpClient http = HttpClient.newHttpClient();
            HttpResponse<byte[]> response = http.send(export, HttpResponse.BodyHandlers.ofByteArray());
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(response.body());
            assertThat(response.body().length).isEqualTo(100_000);
            assertThat(response.headers().firstValue("Repr-Digest"))
                    .hasValue("sha-256=:" + Base64.getEncoder().encodeToString(digest) + ":");
            client.setFaults("{\"cutBodies\":1}");
            assertThrows(IOException.class, () -> http.send(export, HttpResponse.BodyHandlers.ofByteArray()));
        }

        @Test
        void announcementsContainAddressAndLeavingState() throws Exception {
            BlockingQueue<JsonNode> announcements = new LinkedBlockingQueue<>();
            try (StandinHttpServer companion = StandinHttpServer.start(ANY_PORT, exchange -> {
                announcements.add(HttpBodies.readJson(exchange));
                HttpBodies.sendJson(exchange, 200, HttpBodies.object());
            })) {
                start(false, "fixed:0", companion.address());
                JsonNode first = announcements.poll(20, TimeUnit.SECONDS);
                assertThat(first.path("port").asInt())
                        .isEqualTo(backend.address().port());
                assertThat(first.path("leaving").asBoolean()).isFalse();
                client.setFaults("{\"leaving\":true}");
                JsonNode next = announcements.poll(20, TimeUnit.SECONDS);
                while (!next.path("leaving").asBoolean()) {
                    next = announcements.poll(20, TimeUnit.SECONDS);
                }
                assertThat(next.path("service").asText()).isEqualTo("s");
            }
        }
    }
}
