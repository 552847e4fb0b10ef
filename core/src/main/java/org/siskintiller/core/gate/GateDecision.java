package org.siskintiller.core.gate;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotVersion;

/** Decision of the gate that the node carries out. */
public sealed interface GateDecision {

    /**
     * Sends the request to the backend server now. The node calls Gate.mayDispatch directly before it writes.
     *
     * @param fence fencing token of the slot, or null for a request without slot
     * @param deadlineNs monotonic time at which the node cancels the request
     */
    record Dispatch(RequestId id, Fence fence, long deadlineNs) implements GateDecision {}

    /** Answers the caller with an error. */
    record Refuse(RequestId id, Refusal refusal) implements GateDecision {}

    /** Answers the caller with the stored outcome of an earlier request with the same idempotency key. */
    record Replay(RequestId id, RequestRecord record) implements GateDecision {}

    /** Cancels a dispatched request whose caller is gone or whose deadline has passed. */
    record Cancel(RequestId id) implements GateDecision {}

    /** Stores records at the standby; answered by RecordsStored or, after 50 ms, RecordsNotStored. */
    record StoreAtStandby(Incarnation standby, long sequence, boolean reset, List<RequestRecord> records)
            implements GateDecision {
        public StoreAtStandby {
            records = List.copyOf(records);
        }
    }

    /** Appends records to the requests stream; answered by RecordsStored or RecordsNotStored. */
    record StoreInLog(long sequence, List<RequestRecord> records) implements GateDecision {
        public StoreInLog {
            records = List.copyOf(records);
        }
    }

    /** Asks the control plane to make the witnesses know that records may be in the log. */
    record RequestRecordsInLog() implements GateDecision {}

    /** The node reads the requests stream to its tail and passes the records on. */
    record ReadRequestsStream() implements GateDecision {}

    /** Nothing of these slots is queued or runs any more. */
    record SlotsQuiesced(String service, List<SlotVersion> slots, List<RequestRecord> records) implements GateDecision {
        public SlotsQuiesced {
            slots = List.copyOf(slots);
            records = List.copyOf(records);
        }
    }

    /** No request of the removed customer is queued or runs. */
    record CustomerQuiesced(String customer, long removalOffset) implements GateDecision {}

    /** Nothing is queued or runs after DrainStarted. */
    record Drained() implements GateDecision {}

    /** The backend server is able or unable to serve, by the results of its requests. */
    record BackendServerChanged(boolean serving, String reason) implements GateDecision {}

    /** Reason of a refusal, as it is sent to the caller. */
    record Refusal(RefusalKind kind, String detail, long retryAfterMs) {
        public Refusal {
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(detail, "detail");
        }
    }
}
