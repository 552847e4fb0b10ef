package org.siskintiller.core.gate;

import org.siskintiller.core.admission.QueuedRequest;
import org.siskintiller.core.idempotency.RecordKey;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.RequestRecord;

/** Request that is in the gate. */
final class Ticket extends QueuedRequest {
    private final GateRequest request;

    Phase phase = Phase.ARRIVED;
    /** Record of a non-idempotent request while it is stored, queued or runs. */
    RequestRecord requestRecord;
    /** Key of the record that a repeat waits for. */
    RecordKey awaitedKey;

    Fence fence;
    long dispatchedNs;
    /** Monotonic time at which the execution at the backend server is cancelled. */
    long executionDeadlineNs;
    /** Whether a backend server was lost while it ran this request. */
    boolean isSuspect;

    boolean callerDisconnected;
    boolean cancelled;
    /** Reason of the failed check before the dispatch, or null. */
    RefusalKind denial;

    Ticket(GateRequest request, long sequence) {
        super(request.rank(), request.customer(), request.deadlineNs(), sequence);
        this.request = request;
    }

    GateRequest request() {
        return request;
    }

    /** Whether a place in the queue of its rank is reserved for the request. */
    boolean hasReservation() {
        return phase == Phase.STORING || phase == Phase.HELD;
    }

    boolean isRunning() {
        return phase == Phase.RUNNING;
    }

    /** Progress of a request through the gate. */
    enum Phase {
        ARRIVED,
        /** Its record is being stored at the standby or in the log. */
        STORING,
        /** It is suspected of crashing backend servers and is held until no other suspect is queued or runs. */
        HELD,
        QUEUED,
        RUNNING,
        /** It repeats a request that is still in the gate. */
        WAITING
    }
}
