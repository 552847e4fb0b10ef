package org.siskintiller.core.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load above the capacity of one backend server. Requests that miss their objective are offered again as late ones. */
class OverloadTest {
    private static final long MS = 1_000_000;
    private static final int SLOTS = 12;
    private static final long SERVICE_MS = 60;
    private static final long OBJECTIVE_MS = 200;
    private static final long DEADLINE_MS = 500;
    /** After a refusal within this time the caller can still retry. */
    private static final long LONG_WAIT_MS = 250;

    private final Admission<Request> admission = new Admission<>(new ConcurrencyLimit(SLOTS));
    private final List<Request> waiting = new ArrayList<>();
    private final List<Request> running = new ArrayList<>();
    private final Random random = new Random(11);
    private int expiredAfterLongWait;
    private int servedOnTime;
    private int served;
    private long nowMs;

    @Nested
    class SustainedOverload {
        /**
         * Load pattern: a hot key loads one backend server to 7/6 of its capacity for several seconds. Guards against
         * late requests that are queued for most of their time and then expire, since on-time requests take every slot.
         */
        @Test
        void refusesLateRequestsThatGetNoSlot() {
            int arrived = run(4_000, SLOTS * 1_000.0 / SERVICE_MS * 7 / 6);

            assertThat(expiredAfterLongWait).isAtMost(arrived / 100);
            assertThat(servedOnTime).isAtLeast((int) (0.85 * 4 * SLOTS * 1_000 / SERVICE_MS));
        }
    }

    @Nested
    class ShortBurst {
        /**
         * Load pattern: a burst of 300 ms at twice the capacity. Guards against refusals of late requests although
         * slots become free.
         */
        @Test
        void servesLateRequestsAfterTheBurst() {
            run(1_000, 0.5 * SLOTS * 1_000.0 / SERVICE_MS);
            int before = served;
            int arrived = run(300, 2.0 * SLOTS * 1_000.0 / SERVICE_MS);
            arrived += run(1_000, 0.3 * SLOTS * 1_000.0 / SERVICE_MS);

            assertThat(served - before).isAtLeast((int) (0.8 * arrived));
        }
    }

    private int run(long durationMs, double perSecond) {
        admission.configure(new AdmissionSettings(
                List.of(new RankSettings("on-time", 0, 0.1, 200), new RankSettings("late", 1, 0, 200)),
                Map.of(),
                "late"));
        int arrived = 0;
        for (long end = nowMs + durationMs; nowMs < end; nowMs++) {
            finish();
            expire();
            for (double expectedArrivals = perSecond / 1_000; expectedArrivals > 0; expectedArrivals--) {
                if (expectedArrivals >= 1 || random.nextDouble() < expectedArrivals) {
                    arrived++;
                    offer("on-time", nowMs, nowMs + OBJECTIVE_MS);
                }
            }
            dispatch();
        }
        return arrived;
    }

    private void offer(String rank, long arrivedMs, long deadlineMs) {
        Request request = new Request(rank, arrivedMs, deadlineMs);
        if (admission.reserve(request, nowMs * MS) instanceof AdmissionResult.Admitted) {
            admission.enqueue(request, nowMs * MS);
            waiting.add(request);
        } else if (rank.equals("on-time")) {
            offer("late", arrivedMs, arrivedMs + DEADLINE_MS);
        }
    }

    private void finish() {
        for (Iterator<Request> iterator = running.iterator(); iterator.hasNext(); ) {
            Request request = iterator.next();
            if (nowMs >= request.endMs) {
                iterator.remove();
                admission.finished(request, SERVICE_MS * MS);
                served++;
                servedOnTime += nowMs <= request.arrivedMs + OBJECTIVE_MS ? 1 : 0;
            }
        }
    }

    private void expire() {
        for (Request request : List.copyOf(waiting)) {
            long leftMs = request.deadlineNs() / MS - nowMs;
            if (request.rank().equals("on-time") && leftMs < 0) {
                remove(request);
                offer("late", request.arrivedMs, request.arrivedMs + DEADLINE_MS);
            } else if (request.rank().equals("late") && leftMs < SERVICE_MS / 2) {
                remove(request);
                expiredAfterLongWait += nowMs - request.arrivedMs > LONG_WAIT_MS ? 1 : 0;
            }
        }
    }

    private void remove(Request request) {
        admission.remove(request, nowMs * MS);
        waiting.remove(request);
    }

    private void dispatch() {
        Request next = admission.next(nowMs * MS);
        while (next != null) {
            waiting.remove(next);
            next.endMs = nowMs + SERVICE_MS;
            running.add(next);
            next = admission.next(nowMs * MS);
        }
    }

    /** Request with its times in the simulation. */
    private static final class Request extends QueuedRequest {
        private static long count;

        private final long arrivedMs;
        private long endMs;

        Request(String rank, long arrivedMs, long deadlineMs) {
            super(rank, "", deadlineMs * MS, count++);
            this.arrivedMs = arrivedMs;
        }
    }
}
