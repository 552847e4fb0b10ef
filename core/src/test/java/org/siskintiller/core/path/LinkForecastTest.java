package org.siskintiller.core.path;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LinkForecastTest {
    private static final long MS = 1_000_000L;
    private static final double LINK_BYTES_PER_S = 1_200_000;
    private static final int MEAN_BYTES = 90_000;
    private static final long SERVICE_NS = 170 * MS;
    private static final long OBJECTIVE_NS = 900 * MS;
    private static final long DEADLINE_NS = 5_000 * MS;
    private static final long DURATION_NS = 60_000 * MS;

    @Nested
    class Overload {
        /** Guards against a link on which every response arrives late, because all requests are accepted. */
        @Test
        void servesWhatTheLinkCarriesInTime() {
            Replay replay = new Replay(1.25, 1);
            replay.run();

            // The link carries 0.8 of the load.
            assertThat(replay.inTime / (double) replay.arrived).isAtLeast(0.7);
        }

        /** Guards against accepted requests whose responses do not arrive in time. */
        @Test
        void acceptsNothingThatArrivesAfterItsDeadline() {
            Replay replay = new Replay(3, 2);
            replay.run();

            assertThat(replay.afterDeadline).isEqualTo(0);
            assertThat(replay.inTime / (double) replay.accepted).isAtLeast(0.8);
        }
    }

    @Nested
    class NormalLoad {
        /** Guards against requests that are refused although the link has room for them. */
        @Test
        void refusesAlmostNothing() {
            Replay replay = new Replay(0.6, 3);
            replay.run();

            assertThat(replay.accepted / (double) replay.arrived).isAtLeast(0.97);
        }

        /** Guards against a request that is refused because its objective has passed, while the link is idle. */
        @Test
        void acceptsLateRequestsOnAnIdleLink() {
            LinkForecast forecast = new LinkForecast(LINK_BYTES_PER_S);
            long now = 1_000 * MS;

            assertThat(forecast.accepts(forecast.arrivalNs(0, 0), now, now - MS, now + DEADLINE_NS))
                    .isTrue();
        }
    }

    @Nested
    class Ended {
        /** Guards against reservations that stay after their requests have ended without a response. */
        @Test
        void releasesItsReservation() {
            LinkForecast forecast = new LinkForecast(LINK_BYTES_PER_S);
            LinkForecast.Response first = forecast.begin();
            first.received(MEAN_BYTES);
            first.completed();
            long idleNs = forecast.arrivalNs(0, 0);
            for (int i = 0; i < 100; i++) {
                LinkForecast.Response response = forecast.begin();
                response.received(i);
                response.end();
                response.end();
            }

            assertThat(forecast.arrivalNs(0, 0)).isEqualTo(idleNs);
        }
    }

    /** Requests at a constant mean rate, a backend server with free slots, and a link that sends one response at a time. */
    private static final class Replay {
        private final LinkForecast forecast = new LinkForecast(LINK_BYTES_PER_S);
        private final Random random;
        private final double meanGapNs;
        private final PriorityQueue<Download> running =
                new PriorityQueue<>((a, b) -> Long.compare(a.readyNs, b.readyNs));
        private final Deque<Download> waiting = new ArrayDeque<>();
        private long linkFreeNs;
        private int arrived;
        private int accepted;
        private int inTime;
        private int afterDeadline;

        private Replay(double load, long seed) {
            random = new Random(seed);
            meanGapNs = 1e9 * MEAN_BYTES / LINK_BYTES_PER_S / load;
        }

        private void run() {
            long nowNs = 0;
            while (nowNs < DURATION_NS) {
                nowNs += Math.round(-Math.log(1 - random.nextDouble()) * meanGapNs);
                advance(nowNs);
                arrive(nowNs);
            }
            advance(Long.MAX_VALUE);
        }

        private void arrive(long nowNs) {
            arrived++;
            long waitingBytes =
                    waiting.stream().mapToLong(download -> download.bytes).sum();
            long arrivalNs = forecast.arrivalNs(waitingBytes, Math.max(0, linkFreeNs - nowNs));
            if (forecast.accepts(arrivalNs, nowNs, nowNs + OBJECTIVE_NS, nowNs + DEADLINE_NS)) {
                accepted++;
                int bytes = (int) (MEAN_BYTES * (0.4 + 1.2 * random.nextDouble()));
                running.add(new Download(nowNs, nowNs + SERVICE_NS, bytes, forecast.begin()));
            }
        }

        private void advance(long nowNs) {
            while (true) {
                boolean isLinkNext = !waiting.isEmpty()
                        && linkFreeNs <= nowNs
                        && (running.isEmpty() || linkFreeNs <= running.peek().readyNs);
                if (isLinkNext) {
                    send(waiting.poll());
                } else if (!running.isEmpty() && running.peek().readyNs <= nowNs) {
                    Download ready = running.poll();
                    ready.response.received(ready.bytes);
                    ready.response.completed();
                    waiting.add(ready);
                    linkFreeNs = Math.max(linkFreeNs, ready.readyNs);
                } else {
                    return;
                }
            }
        }

        private void send(Download download) {
            linkFreeNs += Math.round(download.bytes * 1e9 / LINK_BYTES_PER_S);
            long tookNs = linkFreeNs - download.arrivedNs;
            inTime += tookNs <= OBJECTIVE_NS ? 1 : 0;
            afterDeadline += tookNs > DEADLINE_NS ? 1 : 0;
        }
    }

    private record Download(long arrivedNs, long readyNs, int bytes, LinkForecast.Response response) {}
}
