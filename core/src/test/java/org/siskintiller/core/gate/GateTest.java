package org.siskintiller.core.gate;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.control.ControlAction.OpenSlot;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;

import static com.google.common.truth.Truth.assertThat;

class GateTest {
    private static final BackendServer BACKEND = new BackendServer("lookup", new Address("127.0.0.1", 1), 2, 10);
    private static final Fence FENCE = new Fence(4, 0);
    private static final long MS = 1_000_000;
    private static final DispatchOutcome ANSWERED = new DispatchOutcome.Answered(200, "", Bytes.EMPTY, MS);

    private final Gate gate = new Gate(BACKEND, new Incarnation(1));
    private long nowMs = 10;

    @BeforeEach
    void openSlot() {
        handle(new GateEvent.LeaseExtended(100_000 * MS));
        handle(new GateEvent.SlotsOpened("lookup", List.of(new OpenSlot(3, FENCE)), null, true, false));
    }

    @Nested
    class Ownership {

        /** Guards against serving a slot that this companion does not own. */
        @Test
        void refusesClosedSlot() {
            handle(new GateEvent.SlotsClosing("lookup", List.of(new SlotVersion(3, 5))));
            assertThat(refusals(arrive(1))).containsExactly(RefusalKind.NOT_OWNER);
        }

        /** Guards against a dispatch after the lease expired between decision and write. */
        @Test
        void checksLeaseDirectlyBeforeDispatch() {
            assertThat(arrive(1)).containsExactly(new GateDecision.Dispatch(id(1), FENCE, 1_010 * MS));
            assertThat(gate.mayDispatch(id(1), 11 * MS)).isTrue();
            assertThat(gate.mayDispatch(id(1), 100_000 * MS)).isFalse();
            assertThat(refusals(finish(1, new DispatchOutcome.NotRun("denied"))))
                    .containsExactly(RefusalKind.NO_LEASE);
        }

        /** Guards against queued requests that wait for a lease instead of being retried elsewhere. */
        @Test
        void refusesQueuedRequestsWithoutLease() {
            arrive(1, 2, 3);
            assertThat(refusals(handle(new GateEvent.LeaseExtended(Long.MIN_VALUE))))
                    .containsExactly(RefusalKind.NO_LEASE);
        }

        /** Guards against reporting a slot as quiesced while one of its requests runs. */
        @Test
        void quiescesSlotAfterRunningRequests() {
            arrive(1, 2, 3);
            List<GateDecision> closing = handle(new GateEvent.SlotsClosing("lookup", List.of(new SlotVersion(3, 5))));
            assertThat(refusals(closing)).containsExactly(RefusalKind.NOT_OWNER);
            assertThat(of(closing, GateDecision.SlotsQuiesced.class)).isEmpty();
            assertThat(gate.mayDispatch(id(1), nowMs * MS)).isFalse();
            assertThat(of(finish(1, ANSWERED), GateDecision.SlotsQuiesced.class))
                    .isEmpty();
            assertThat(of(finish(2, ANSWERED), GateDecision.SlotsQuiesced.class))
                    .hasSize(1);
        }

        /** Guards against a request that runs longer than a successor waits. */
        @Test
        void boundsTheDeadlineByTheLongestRequest() {
            ServiceConfig service = new ServiceConfig("lookup", true, true, false, 256, 1, 600, "urgent", 600_000);
            ClusterConfig config = new ClusterConfig(List.of(service), List.of(), List.of(), List.of(), "");
            handle(new GateEvent.ConfigApplied(1, config, List.of()));
            assertThat(arrive(1)).containsExactly(new GateDecision.Dispatch(id(1), FENCE, 610 * MS));
        }
    }

    @Nested
    class Leaving {

        /** Guards against admitting requests during a drain, and against a drain that aborts running requests. */
        @Test
        void drains() {
            arrive(1, 2, 3);
            assertThat(of(handle(new GateEvent.DrainStarted()), GateDecision.Drained.class))
                    .isEmpty();
            assertThat(refusals(arrive(4))).containsExactly(RefusalKind.DRAINING);
            assertThat(of(finish(1, ANSWERED), GateDecision.Dispatch.class)).hasSize(1);
            finish(2, ANSWERED);
            assertThat(of(finish(3, ANSWERED), GateDecision.Drained.class)).hasSize(1);
        }

        /** Guards against dispatching requests to a leaving backend server after more than 3 s. */
        @Test
        void refusesQueuedRequestsAfterTheGracePeriod() {
            arrive(1, 2);
            nowMs += 1;
            handle(new GateEvent.Arrived(request(3, "c", 10_000, 3)));
            handle(new GateEvent.DrainStarted());
            for (int i = 0; i < 3; i++) {
                nowMs += 700;
                handle(new GateEvent.ResponseStarted(id(1)));
            }
            assertThat(gate.stats().refused()).containsExactly(RefusalKind.DRAINING, 1L);
        }

        /** Guards against reporting a customer as quiesced while one of its requests runs. */
        @Test
        void quiescesCustomer() {
            arrive(1, 2, 3);
            List<GateDecision> removal = handle(new GateEvent.CustomerQuiescing("c", 77));
            assertThat(refusals(removal)).containsExactly(RefusalKind.CUSTOMER_REMOVED);
            assertThat(refusals(arrive(4))).containsExactly(RefusalKind.CUSTOMER_REMOVED);
            finish(1, ANSWERED);
            assertThat(of(finish(2, ANSWERED), GateDecision.CustomerQuiesced.class))
                    .containsExactly(new GateDecision.CustomerQuiesced("c", 77));
        }

        /** Guards against work for a disconnected caller, and against releasing a slot before the work ends. */
        @Test
        void cancelsForDisconnectedCaller() {
            arrive(1, 2, 3);
            assertThat(handle(new GateEvent.CallerDisconnected(id(1)))).containsExactly(new GateDecision.Cancel(id(1)));
            assertThat(handle(new GateEvent.CallerDisconnected(id(3)))).isEmpty();
            assertThat(gate.stats().queued()).isEqualTo(0);
            assertThat(gate.stats().inFlight()).isEqualTo(2);
            assertThat(finish(1, new DispatchOutcome.Broken("cancelled"))).isEmpty();
            assertThat(gate.suspicion(1, nowMs * MS)).isEmpty();
        }

        /** Guards against requests that wait in the queue beyond their deadline. */
        @Test
        void expiresInTheQueue() {
            arrive(1, 2, 3);
            nowMs += 1_000;
            assertThat(refusals(handle(new GateEvent.Tick()))).containsExactly(RefusalKind.DEADLINE_TOO_SHORT);
        }
    }

    @Nested
    class Crashes {

        /** Guards against a request that crashes a third backend server. */
        @Test
        void refusesAfterTwoLosses() {
            arrive(1);
            assertThat(refusals(finish(1, new DispatchOutcome.Broken("reset")))).contains(RefusalKind.BACKEND_FAILED);
            assertThat(gate.suspicion(1, nowMs * MS)).isPresent();
            handle(new GateEvent.SuspicionsReceived(List.of(new Suspicion(1, Set.of(new Incarnation(2))))));
            assertThat(refusals(handle(new GateEvent.Arrived(request(2, "c", 1_000, 1)))))
                    .containsExactly(RefusalKind.QUARANTINED);
            assertThat(arrive(3)).hasSize(1);
        }

        /** Guards against attributing the crash of one suspected request to another one that runs at the same time. */
        @Test
        void runsSuspectsOneAtATime() {
            Set<Incarnation> other = Set.of(new Incarnation(2));
            handle(new GateEvent.SuspicionsReceived(List.of(new Suspicion(1, other), new Suspicion(2, other))));
            assertThat(of(arrive(1, 2), GateDecision.Dispatch.class)).hasSize(1);
            List<GateDecision> crash = finish(1, new DispatchOutcome.Broken("reset"));
            assertThat(of(crash, GateDecision.Dispatch.class)).hasSize(1);
            assertThat(refusals(finish(2, ANSWERED))).isEmpty();
        }

        /** Guards against ejecting a healthy backend server because a grant expired for a short time. */
        @Test
        void fenceRefusalsDoNotAffectHealth() {
            for (long id = 1; id <= 20; id++) {
                arrive(id);
                List<GateDecision> decisions = finish(id, new DispatchOutcome.NotRun("no live grant", true));
                assertThat(refusals(decisions)).containsExactly(RefusalKind.NOT_OWNER);
                assertThat(of(decisions, GateDecision.BackendServerChanged.class))
                        .isEmpty();
            }
        }

        /** Guards against requests that wait at a frozen backend server. */
        @Test
        void ejectsFrozenBackendServer() {
            arrive(1, 2);
            nowMs += 1_002;
            List<GateDecision> decisions = handle(new GateEvent.Tick());
            assertThat(of(decisions, GateDecision.BackendServerChanged.class)).hasSize(1);
            assertThat(refusals(arrive(3))).containsExactly(RefusalKind.BACKEND_REFUSED);
        }
    }

    private List<GateDecision> arrive(long... ids) {
        List<GateDecision> decisions = new ArrayList<>();
        for (long requestId : ids) {
            decisions.addAll(handle(new GateEvent.Arrived(request(requestId, "c", 1_000, requestId))));
        }
        return decisions;
    }

    private List<GateDecision> finish(long id, DispatchOutcome outcome) {
        return handle(new GateEvent.Finished(id(id), outcome));
    }

    private List<GateDecision> handle(GateEvent event) {
        return gate.handle(event, nowMs * MS, 1_000);
    }

    private GateRequest request(long id, String customer, long deadlineMs, long fingerprint) {
        return new GateRequest(
                id(id),
                "lookup",
                new SlotId("lookup", 3),
                customer,
                "urgent",
                true,
                null,
                false,
                0,
                (nowMs + deadlineMs) * MS,
                fingerprint,
                List.of());
    }

    private static RequestId id(long id) {
        return new RequestId(0, id);
    }

    private static List<RefusalKind> refusals(List<GateDecision> decisions) {
        List<RefusalKind> kinds = new ArrayList<>();
        for (GateDecision.Refuse refuse : of(decisions, GateDecision.Refuse.class)) {
            kinds.add(refuse.refusal().kind());
        }
        return kinds;
    }

    private static <T> List<T> of(List<GateDecision> decisions, Class<T> type) {
        List<T> matching = new ArrayList<>();
        for (GateDecision decision : decisions) {
            if (type.isInstance(decision)) {
                matching.add(type.cast(decision));
            }
        }
        return matching;
    }
}
