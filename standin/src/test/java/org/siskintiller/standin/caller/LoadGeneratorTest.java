package org.siskintiller.standin.caller;

import java.io.IOException;
import java.io.StringReader;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.http.HttpBodies;
import org.siskintiller.standin.http.StandinHttpServer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a caller that does not detect wrong responses or stops sending while responses are late. */
@Timeout(60)
class LoadGeneratorTest {
    private static final int REQUESTS = 50;

    private final AtomicInteger executions = new AtomicInteger();

    /** Mix of {@link #REQUESTS} requests: 250 a second for 200 ms. */
    private static CallerMix mix(String streamSettings, Address target) throws IOException {
        String ini = "[caller]\nduration_ms = 200\n[stream one]\nservice = s\nrate = 250\nkeys = uniform:10\n"
                + "rank = urgent\ndeadline_ms = 5000\nresend_delay_ms = 1\n" + streamSettings;
        return MixReader.read(new StringReader(ini), List.of(target), null, 1L);
    }

    private static JsonNode run(String streamSettings, HttpHandler handler) throws Exception {
        CallerStats stats = new CallerStats();
        try (StandinHttpServer server = StandinHttpServer.start(new Address("127.0.0.1", 0), handler);
                CallerJournal journal = new CallerJournal(null)) {
            new LoadGenerator(mix(streamSettings, server.address()), stats, journal).run();
        }
        return stats.toJson();
    }

    private ObjectNode response(HttpExchange exchange) {
        return HttpBodies.object()
                .put("key", HttpBodies.header(exchange, "Siskin-Key"))
                .put("tag", HttpBodies.header(exchange, "X-Caller-Tag"))
                .put("execution", Integer.toString(executions.incrementAndGet()));
    }

    @Nested
    class Verification {

        @Test
        void matchingResponsesAreCounted() throws Exception {
            JsonNode summary = run("", exchange -> HttpBodies.sendJson(exchange, 200, response(exchange)));
            assertThat(summary.path("ranks").path("urgent").path("ok").asInt()).isEqualTo(REQUESTS);
            assertThat(summary.path("mismatched").asInt()).isEqualTo(0);
        }

        @Test
        void responsesToOtherRequestsAreMismatched() throws Exception {
            JsonNode summary = run(
                    "",
                    exchange -> HttpBodies.sendJson(
                            exchange, 200, response(exchange).put("tag", "other")));
            assertThat(summary.path("mismatched").asInt()).isEqualTo(REQUESTS);
            assertThat(summary.path("ranks").path("urgent").path("ok").asInt()).isEqualTo(0);
        }

        @Test
        void damagedExportsAreMismatched() throws Exception {
            JsonNode summary = run("path = /export", exchange -> {
                exchange.getResponseHeaders().set("Repr-Digest", "sha-256=:AAAA:");
                HttpBodies.send(exchange, 200, "application/octet-stream", new byte[100]);
            });
            assertThat(summary.path("mismatched").asInt()).isEqualTo(REQUESTS);
        }

        @Test
        void secondExecutionOfIdempotencyKeyIsDoubled() throws Exception {
            JsonNode summary = run(
                    "method = POST\nidempotency_keys = true\nrepeats = 1",
                    exchange -> HttpBodies.sendJson(exchange, 200, response(exchange)));
            assertThat(summary.path("repeated").asInt()).isEqualTo(REQUESTS);
            assertThat(summary.path("doubled").asInt()).isEqualTo(REQUESTS);
        }

        @Test
        void refusalsAreCountedByStatusAndOutcome() throws Exception {
            JsonNode summary = run(
                    "",
                    exchange -> HttpBodies.sendJson(
                            exchange, 429, HttpBodies.object().put("outcome", "not-run")));
            assertThat(summary.path("ranks")
                            .path("urgent")
                            .path("refused")
                            .path("429/not-run")
                            .asInt())
                    .isEqualTo(REQUESTS);
        }
    }

    @Nested
    class Sending {

        @Test
        void lateResponsesDoNotDelayRequests() throws Exception {
            CountDownLatch allArrived = new CountDownLatch(REQUESTS);
            JsonNode summary = run("", exchange -> {
                allArrived.countDown();
                try {
                    allArrived.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                HttpBodies.sendJson(exchange, 200, response(exchange));
            });
            // No response is sent before the last request arrives, so a caller that waits for responses would never
            // end.
            assertThat(summary.path("ranks").path("urgent").path("ok").asInt()).isEqualTo(REQUESTS);
        }

        @Test
        void resendsKeepTheIdempotencyKey() throws Exception {
            Map<String, Integer> sendsByKey = new ConcurrentHashMap<>();
            Set<String> tags = ConcurrentHashMap.newKeySet();
            JsonNode summary = run("method = POST\nidempotency_keys = true\nresends = 2", exchange -> {
                String key = HttpBodies.header(exchange, "Idempotency-Key");
                tags.add(HttpBodies.header(exchange, "X-Caller-Tag"));
                if (sendsByKey.merge(key, 1, Integer::sum) == 3) {
                    HttpBodies.sendJson(exchange, 200, response(exchange));
                }
            });
            assertThat(summary.path("ranks").path("urgent").path("ok").asInt()).isEqualTo(REQUESTS);
            assertThat(summary.path("ranks").path("urgent").path("sends").asInt())
                    .isEqualTo(3 * REQUESTS);
            assertThat(sendsByKey).hasSize(REQUESTS);
            assertThat(tags).hasSize(REQUESTS);
        }

        @Test
        void brokenConnectionsOfIdempotentMethodsAreNotResentSilently() throws Exception {
            AtomicInteger arrived = new AtomicInteger();
            JsonNode summary = run("", exchange -> {
                if (arrived.incrementAndGet() % 2 == 0) {
                    HttpBodies.sendJson(exchange, 200, response(exchange));
                }
            });
            assertThat(arrived.get()).isEqualTo(REQUESTS);
            assertThat(summary.path("ranks")
                            .path("urgent")
                            .path("failed")
                            .path("broken")
                            .asInt())
                    .isEqualTo(REQUESTS / 2);
        }
    }

    @Nested
    class Generators {

        @Test
        void idempotencyKeyIsAVersion7Uuid() {
            UUID uuid = UUID.fromString(new IdempotencyKeys().next(1_790_000_000_123L));
            assertThat(uuid.version()).isEqualTo(7);
            assertThat(uuid.variant()).isEqualTo(2);
            assertThat(uuid.getMostSignificantBits() >>> 16).isEqualTo(1_790_000_000_123L);
        }

        @Test
        void zipfFavoursOneKeyUntilTheHotSetShifts() {
            KeyChooser keys = KeyChooser.parse("zipf:1.2:1000", "k-", 100);
            assertThat(mostFrequent(keys, 0)).isEqualTo("k-0");
            assertThat(mostFrequent(keys, 100)).isEqualTo("k-919");
        }

        @Test
        void unknownSettingIsRefused() {
            IllegalArgumentException refusal = assertThrows(
                    IllegalArgumentException.class, () -> mix("deadline = 3", new Address("127.0.0.1", 1)));
            assertThat(refusal).hasMessageThat().contains("unknown key deadline");
        }

        private String mostFrequent(KeyChooser keys, long elapsedMs) {
            Random random = new Random(1);
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 2_000; i++) {
                counts.merge(keys.choose(random, elapsedMs), 1, Integer::sum);
            }
            return Collections.max(counts.entrySet(), Map.Entry.comparingByValue())
                    .getKey();
        }
    }
}
