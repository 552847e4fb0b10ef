package org.siskintiller.core.gate;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.control.ControlAction.OpenSlot;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.SlotId;

import static com.google.common.truth.Truth.assertThat;

class GateTest {
    private static final BackendServer BACKEND = new BackendServer("lookup", new Address("127.0.0.1", 1), 2, 10);
    private static final Fence FENCE = new Fence(4, 0);

    private final Gate gate = new Gate(BACKEND, new Incarnation(1));

    /** Guards against serving a slot that this companion does not own. */
    @Test
    void refusesClosedSlot() {
        handle(new GateEvent.LeaseExtended(1000));
        assertThat(refusal(handle(arrived(1)))).isEqualTo(RefusalKind.NOT_OWNER);
    }

    /** Guards against a dispatch after the lease expired between decision and write. */
    @Test
    void checksLeaseDirectlyBeforeDispatch() {
        handle(new GateEvent.LeaseExtended(1000));
        handle(new GateEvent.SlotsOpened("lookup", List.of(new OpenSlot(3, FENCE)), null, true, false));
        assertThat(handle(arrived(1))).containsExactly(new GateDecision.Dispatch(new RequestId(0, 1), FENCE, 500));
        assertThat(gate.mayDispatch(new RequestId(0, 1), 10)).isTrue();
        handle(new GateEvent.LeaseExtended(Long.MIN_VALUE));
        assertThat(gate.mayDispatch(new RequestId(0, 1), 10)).isFalse();
    }

    private List<GateDecision> handle(GateEvent event) {
        return gate.handle(event, 10, 1000);
    }

    private static RefusalKind refusal(List<GateDecision> decisions) {
        return ((GateDecision.Refuse) decisions.get(0)).refusal().kind();
    }

    private static GateEvent arrived(long id) {
        return new GateEvent.Arrived(new GateRequest(
                new RequestId(0, id),
                "lookup",
                new SlotId("lookup", 3),
                "c",
                "urgent",
                true,
                null,
                false,
                0,
                500,
                0,
                List.of()));
    }
}
