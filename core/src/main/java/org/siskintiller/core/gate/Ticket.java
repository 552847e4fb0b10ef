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
    RequestRecord started;
    /** Key of the record that a repeat waits for. */
    RecordKey awaited;

    Fence fence;
    long dispatchedNs;
    /** End of the time that the backend server is given. */
    long cutoffNs;
    /** Whether a backend server was lost while it ran this request. */
    boolean suspect;

    boolean callerGone;
    boolean cancelled;
    /** Why the last check before the dispatch failed, or null. */
    RefusalKind denied;

    Ticket(GateRequest request, long sequence) {
        super(request.rank(), request.customer(), request.deadlineNs(), sequence);
        this.request = request;
    }

    GateRequest request() {
        return request;
    }

    /** Whether the request holds a place in its rank's queue. */
    boolean reserved() {
        return phase == Phase.STORING || phase == Phase.HELD;
    }

    boolean running() {
        return phase == Phase.RUNNING;
    }

    /** Progress of a request through the gate. */
    enum Phase {
        ARRIVED,
        /** The second place stores its record. */
        STORING,
        /** It is suspected of crashing backend servers and waits until no other suspect runs. */
        HELD,
        QUEUED,
        RUNNING,
        /** It repeats a request that is still in the gate. */
        WAITING
    }
}
