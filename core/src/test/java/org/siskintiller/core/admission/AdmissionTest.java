package org.siskintiller.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class AdmissionTest {
    private static final long MS = 1_000_000;
    private static final long NO_DEADLINE_NS = Long.MAX_VALUE / 2;
    private static final AdmissionSettings SETTINGS = new AdmissionSettings(
            List.of(
                    new RankSettings("urgent", 0, 0.3, 50),
                    new RankSettings("normal", 1, 0.4, 50),
                    new RankSettings("bulk", 2, 0.3, 50)),
            Map.of("heavy", 3),
            "normal");

    /** Guards against requests that are lost, dispatched twice or never dispatched, and against exceeding the limit. */
    @Property(seed = "2", tries = 300)
    void servesEachAdmittedRequestOnce(@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 5) Integer> steps) {
        Admission<Request> admission = admission(3);
        List<Request> running = new ArrayList<>();
        Map<Request, Integer> taken = new HashMap<>();
        int admitted = 0;
        int removed = 0;
        long now = 0;
        List<Request> waiting = new ArrayList<>();
        for (int step : steps) {
            now += MS;
            if (step < 3) {
                Request request =
                        new Request(List.of("urgent", "normal", "bulk").get(step), "c" + step, NO_DEADLINE_NS);
                if (admission.reserve(request, now) instanceof AdmissionResult.Admitted) {
                    admission.enqueue(request, now);
                    waiting.add(request);
                    admitted++;
                }
            } else if (step == 3 && !running.isEmpty()) {
                admission.finished(running.remove(0), MS);
            } else if (step == 4 && !waiting.isEmpty() && admission.remove(waiting.remove(0), now)) {
                removed++;
            } else {
                take(admission, running, taken, waiting, now);
            }
            assertThat(admission.inFlight()).isAtMost(3);
            assertThat(admission.queued()).isEqualTo(waiting.size());
        }
        while (admission.queued() + admission.inFlight() > 0) {
            take(admission, running, taken, waiting, now);
            admission.finished(running.remove(0), MS);
        }
        assertThat(taken).hasSize(admitted - removed);
        assertThat(taken.values().stream().allMatch(times -> times == 1)).isTrue();
    }

    /** Guards against a customer of weight 1 that gets as much service as a customer of weight 3. */
    @Test
    void dividesRankByWeight() {
        Admission<Request> admission = admission(1);
        for (int i = 0; i < 24; i++) {
            add(admission, new Request("normal", "light", NO_DEADLINE_NS));
            add(admission, new Request("normal", "heavy", NO_DEADLINE_NS));
        }
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 24; i++) {
            Request request = admission.next(i * MS);
            served.merge(request.customer(), 1, Integer::sum);
            admission.finished(request, MS);
        }
        assertThat(served.get("heavy")).isAtLeast(17);
        assertThat(served.get("light")).isAtLeast(5);
    }

    /** Guards against dispatching a later deadline of a customer before an earlier one. */
    @Property(seed = "3", tries = 200)
    void servesEarliestDeadlineFirst(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 9) Integer> seconds) {
        Admission<Request> admission = admission(1);
        seconds.forEach(second -> add(admission, new Request("bulk", "c", second * 1_000_000 * MS)));
        long last = 0;
        for (int i = 0; i < seconds.size(); i++) {
            Request request = admission.next(0);
            assertThat(request.deadlineNs()).isAtLeast(last);
            last = request.deadlineNs();
            admission.finished(request, MS);
        }
    }

    /** Guards against guaranteed shares that count requests instead of execution time. */
    @Property(seed = "4", tries = 50)
    void sharesCountTimeNotRequests(
            @ForAll @IntRange(min = 1, max = 20) int urgentMs, @ForAll @IntRange(min = 1, max = 20) int bulkMs) {
        Admission<Request> admission = admission(1);
        Map<String, Long> serviceMs = Map.of("urgent", (long) urgentMs, "normal", 5L, "bulk", (long) bulkMs);
        Map<String, Long> usedMs = new HashMap<>();
        long nowMs = 0;
        Random random = new Random(5);
        while (nowMs < 20_000) {
            for (String rank : serviceMs.keySet()) {
                while (admission.load(nowMs * MS).stream()
                        .anyMatch(load -> load.rank().equals(rank) && load.queued() < 5)) {
                    add(admission, new Request(rank, "c", NO_DEADLINE_NS + random.nextInt(100)));
                }
            }
            Request request = admission.next(nowMs * MS);
            long serviceTimeMs = serviceMs.get(request.rank());
            nowMs += serviceTimeMs;
            usedMs.merge(request.rank(), serviceTimeMs, Long::sum);
            admission.finished(request, serviceTimeMs * MS);
        }
        assertThat(usedMs.get("urgent")).isAtLeast((long) (0.3 * 0.95 * nowMs));
        assertThat(usedMs.get("normal")).isAtLeast((long) (0.4 * 0.95 * nowMs));
        assertThat(usedMs.get("bulk")).isAtLeast((long) (0.3 * 0.95 * nowMs));
    }

    /** Guards against one customer that fills the queue and so blocks the other customers. */
    @Test
    void evictsFromTheLongestQueue() {
        Admission<Request> admission = admission(1);
        for (int i = 0; i < 50; i++) {
            add(admission, new Request("normal", "loud", NO_DEADLINE_NS));
        }
        assertThat(admission.reserve(new Request("normal", "loud", NO_DEADLINE_NS), 0))
                .isInstanceOf(AdmissionResult.QueueFull.class);
        AdmissionResult<Request> result = admission.reserve(new Request("normal", "small", NO_DEADLINE_NS), 0);
        assertThat(((AdmissionResult.Admitted<Request>) result).evicted().customer())
                .isEqualTo("loud");
    }

    /** Guards against queueing requests that cannot end before their deadline. */
    @Test
    void refusesEarlyByPredictedWait() {
        Admission<Request> admission = admission(1);
        for (int i = 0; i < 40; i++) {
            add(admission, new Request("normal", "c", NO_DEADLINE_NS));
        }
        assertThat(admission.reserve(new Request("normal", "c", 50 * MS), 0))
                .isInstanceOf(AdmissionResult.TooLate.class);
        assertThat(admission.reserve(new Request("urgent", "c", 50 * MS), 0))
                .isInstanceOf(AdmissionResult.Admitted.class);
    }

    /** Guards against refusals by the dispatch interval of a cold process: its first dispatch took most of a second. */
    @Test
    void ignoresSingleLongDispatchInterval() {
        Admission<Request> admission = admission(1);
        admission.configure(new AdmissionSettings(List.of(new RankSettings("only", 0, 0, 50)), Map.of(), "only"));
        add(admission, new Request("only", "c", NO_DEADLINE_NS));
        add(admission, new Request("only", "c", NO_DEADLINE_NS));
        assertThat(admission.next(768 * MS)).isNotNull();

        assertThat(admission.reserve(new Request("only", "c", 1_268 * MS), 768 * MS))
                .isInstanceOf(AdmissionResult.Admitted.class);
    }

    /** Guards against wrong load reports that move the limit too far or too fast. */
    @Property(seed = "6", tries = 200)
    void limitStaysBetweenFloorAndAnnouncement(
            @ForAll @IntRange(min = 1, max = 40) int announced,
            @ForAll @Size(max = 30) List<@IntRange(min = -5, max = 1_000) Integer> reports) {
        ConcurrencyLimit limit = new ConcurrencyLimit(announced);
        long now = 0;
        for (int report : reports) {
            int before = limit.limit();
            limit.loadReported(1_000 - report, report, 0, now);
            assertThat(Math.abs(limit.limit() - before)).isAtMost(1);
            assertThat(limit.limit()).isAtMost(announced);
            assertThat(2 * limit.limit()).isAtLeast(announced);
            now += 700 * MS;
        }
    }

    private static Admission<Request> admission(int concurrency) {
        Admission<Request> admission = new Admission<>(new ConcurrencyLimit(concurrency));
        admission.configure(SETTINGS);
        return admission;
    }

    private static void add(Admission<Request> admission, Request request) {
        assertThat(admission.reserve(request, 0)).isInstanceOf(AdmissionResult.Admitted.class);
        admission.enqueue(request, 0);
    }

    private static void take(
            Admission<Request> admission,
            List<Request> running,
            Map<Request, Integer> taken,
            List<Request> waiting,
            long now) {
        Request request = admission.next(now);
        while (request != null) {
            running.add(request);
            waiting.remove(request);
            taken.merge(request, 1, Integer::sum);
            request = admission.next(now);
        }
    }

    /** Request without content. */
    private static final class Request extends QueuedRequest {
        private static long count;

        Request(String rank, String customer, long deadlineNs) {
            super(rank, customer, deadlineNs, count++);
        }
    }
}
