package org.siskintiller.core.gate;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotVersion;

/** Decision of the gate that the node executes. */
public sealed interface GateDecision {

    /**
     * Sends the request to the backend server now. The node calls Gate.mayDispatch directly before it writes.
     *
     * @param fence fencing token of the slot, or null for a request without slot
     * @param deadlineNs monotonic time at which the node cancels the request
     */
    record Dispatch(RequestId id, Fence fence, long deadlineNs) implements GateDecision {}

    /** Responds to the caller with an error. */
    record Refuse(RequestId id, Refusal refusal) implements GateDecision {}

    /** Responds to the caller with the stored outcome of an earlier request with the same idempotency key. */
    record Replay(RequestId id, RequestRecord record) implements GateDecision {}

    /** Cancels a dispatched request whose caller disconnected or whose deadline has passed. */
    record Cancel(RequestId id) implements GateDecision {}

    /** Stores records at the standby. The node responds with RecordsStored or, after 50 ms, RecordsNotStored. */
    record StoreAtStandby(Incarnation standby, long sequence, boolean reset, List<RequestRecord> records)
            implements GateDecision {
        public StoreAtStandby {
            records = List.copyOf(records);
        }
    }

    /** Appends records to the requests stream. The node responds with RecordsStored or RecordsNotStored. */
    record StoreInLog(long sequence, List<RequestRecord> records) implements GateDecision {
        public StoreInLog {
            records = List.copyOf(records);
        }
    }

    /** The control plane must notify the witnesses that records may be in the log. */
    record RequestRecordsInLog() implements GateDecision {}

    /** The node must read the requests stream to its tail and submit the records. */
    record ReadRequestsStream() implements GateDecision {}

    /** No request of these slots is queued or runs. */
    record SlotsQuiesced(String service, List<SlotVersion> slots, List<RequestRecord> records) implements GateDecision {
        public SlotsQuiesced {
            slots = List.copyOf(slots);
            records = List.copyOf(records);
        }
    }

    /** No request of the removed customer is queued or runs. */
    record CustomerQuiesced(String customer, long removalOffset) implements GateDecision {}

    /** No request is queued or runs after DrainStarted. */
    record Drained() implements GateDecision {}

    /** The backend server became able or unable to serve, judged by the results of its requests. */
    record BackendServerChanged(boolean serving, String reason) implements GateDecision {}

    /** Reason of a refusal, as it is sent to the caller. */
    record Refusal(RefusalKind kind, String detail, long retryAfterMs) {
        public Refusal {
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(detail, "detail");
        }
    }
}
