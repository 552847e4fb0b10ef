package org.siskintiller.core.gate;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.control.ControlAction.OpenSlot;
import org.siskintiller.core.idempotency.IdempotencyKey;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.SlotId;

import static com.google.common.truth.Truth.assertThat;

class GateRecordsTest {
    private static final long WALL_MS = 1_000_000;
    private static final long MS = 1_000_000;
    private static final String KEY = IdempotencyKey.of(WALL_MS, 1, 2).text();
    private static final DispatchOutcome ANSWERED =
            new DispatchOutcome.Answered(201, "text/plain", Bytes.copyOf(new byte[] {1, 2}), MS);

    private final Gate gate =
            new Gate(new BackendServer("desk", new Address("127.0.0.1", 1), 4, 10), new Incarnation(1));
    private long nowMs = 1;

    @BeforeEach
    void openSlot() {
        handle(new GateEvent.LeaseExtended(100_000 * MS));
        handle(new GateEvent.SlotsOpened(
                "desk", List.of(new OpenSlot(0, new Fence(1, 0))), new Incarnation(2), true, false));
        storeAll();
    }

    /** Guards against a dispatch before the standby has the record. */
    @Test
    void dispatchesAfterTheRecordIsStored() {
        List<GateDecision> arrival = arrive(1, KEY, 7);
        assertThat(names(arrival)).containsExactly("StoreAtStandby");
        assertThat(gate.mayDispatch(id(1), nowMs * MS)).isFalse();
        assertThat(names(storeAll())).contains("Dispatch");
    }

    /** Guards against running a repeat, both during the first request and after it. */
    @Test
    void repeatsGetTheFirstOutcome() {
        arrive(1, KEY, 7);
        storeAll();
        assertThat(arrive(2, KEY.toUpperCase(Locale.ROOT), 7)).isEmpty();
        assertThat(refusal(arrive(3, KEY, 8))).isEqualTo(RefusalKind.IDEMPOTENCY_KEY_REUSED);
        List<GateDecision> finished = finish(1, ANSWERED);
        GateDecision.Replay replay = (GateDecision.Replay) finished.get(0);
        assertThat(replay.id()).isEqualTo(id(2));
        assertThat(replay.record().body().size()).isEqualTo(2);
        assertThat(names(arrive(4, KEY, 7))).containsExactly("Replay");
    }

    /** Guards against running a repeat although the outcome of the first request is unknown. */
    @Test
    void outcomeOfLostResponseStaysUnknown() {
        arrive(1, KEY, 7);
        storeAll();
        arrive(2, KEY, 7);
        List<GateDecision> broken = finish(1, new DispatchOutcome.Broken("reset"));
        assertThat(names(broken)).containsExactly("Refuse", "Refuse", "StoreAtStandby");
        assertThat(refusal(arrive(3, KEY, 7))).isEqualTo(RefusalKind.OUTCOME_UNKNOWN);
    }

    /** Guards against a key that stays blocked although its request did not run. */
    @Test
    void refusedRequestFreesItsKey() {
        arrive(1, KEY, 7);
        storeAll();
        finish(1, new DispatchOutcome.NotRun("shed"));
        storeAll();
        assertThat(names(arrive(2, KEY, 7))).containsExactly("StoreAtStandby");
        assertThat(names(storeAll())).contains("Dispatch");
    }

    /** Guards against losing an outcome because the first caller disconnected. */
    @Test
    void continuesAfterCallerDisconnects() {
        arrive(1, KEY, 7);
        storeAll();
        assertThat(handle(new GateEvent.CallerDisconnected(id(1)))).isEmpty();
        arrive(2, KEY, 7);
        assertThat(names(finish(1, ANSWERED))).contains("Replay");
    }

    /** Guards against a repeat that waits beyond its own deadline. */
    @Test
    void waitingRepeatEndsAtItsDeadline() {
        arrive(1, KEY, 7);
        storeAll();
        arrive(2, KEY, 7);
        nowMs += 600;
        assertThat(refusal(handle(new GateEvent.Tick()))).isEqualTo(RefusalKind.DEADLINE_PASSED);
    }

    /** Guards against "not-run" for a repeat if the first request ran and the lease was lost afterwards. */
    @Test
    void knownOutcomeNeedsNoLease() {
        arrive(1, KEY, 7);
        storeAll();
        finish(1, ANSWERED);
        handle(new GateEvent.LeaseExtended(Long.MIN_VALUE));
        assertThat(names(arrive(2, KEY, 7))).containsExactly("Replay");
    }

    private List<GateDecision> storeAll() {
        List<GateDecision> decisions = new ArrayList<>();
        for (long sequence = 1; sequence < 20; sequence++) {
            decisions.addAll(handle(new GateEvent.RecordsStored(sequence)));
        }
        return decisions;
    }

    private List<GateDecision> arrive(long id, String key, long digest) {
        return handle(new GateEvent.Arrived(new GateRequest(
                id(id),
                "desk",
                new SlotId("desk", 0),
                "c",
                "r",
                false,
                key,
                false,
                digest,
                (nowMs + 500) * MS,
                id,
                List.of())));
    }

    private List<GateDecision> finish(long id, DispatchOutcome outcome) {
        return handle(new GateEvent.Finished(id(id), outcome));
    }

    private List<GateDecision> handle(GateEvent event) {
        return gate.handle(event, nowMs * MS, WALL_MS);
    }

    private static RequestId id(long id) {
        return new RequestId(0, id);
    }

    private static RefusalKind refusal(List<GateDecision> decisions) {
        return ((GateDecision.Refuse) decisions.get(0)).refusal().kind();
    }

    private static List<String> names(List<GateDecision> decisions) {
        List<String> names = new ArrayList<>();
        decisions.forEach(decision -> names.add(decision.getClass().getSimpleName()));
        return names;
    }
}
