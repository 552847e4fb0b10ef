package org.siskintiller.core.gate;

import java.util.List;

import org.siskintiller.core.control.ControlAction.OpenSlot;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotVersion;

/** Input of the gate in front of one backend server. */
public sealed interface GateEvent {

    /** Time has passed. The node sends one at least every 10 ms while requests are queued. */
    record Tick() implements GateEvent {}

    /** A request arrived, from a caller or from another companion. */
    record Arrived(GateRequest request) implements GateEvent {}

    /** The caller went away or its connection broke. */
    record CallerDisconnected(RequestId id) implements GateEvent {}

    /** The head of the response to a dispatched request arrived; its body may take long. Optional. */
    record ResponseStarted(RequestId id) implements GateEvent {}

    /** The backend server's part of a dispatched request is over. */
    record Finished(RequestId id, DispatchOutcome outcome) implements GateEvent {}

    /** The second place stored the request records of this sequence number. */
    record RecordsStored(long sequence) implements GateEvent {}

    /** The second place did not store the records of this sequence number in time. */
    record RecordsNotStored(long sequence) implements GateEvent {}

    /** Records of another owner or of the requests stream. */
    record RecordsReceived(boolean reset, List<RequestRecord> records) implements GateEvent {
        public RecordsReceived {
            records = List.copyOf(records);
        }
    }

    /** The requests stream was read to its tail. */
    record RequestsStreamRead() implements GateEvent {}

    /** A renewal quorum of witnesses knows that request records may be in the log. */
    record RecordsInLogConfirmed() implements GateEvent {}

    /** Slots that this companion may serve now. See ControlAction.OpenSlots. */
    record SlotsOpened(
            String service,
            List<OpenSlot> slots,
            Incarnation standby,
            boolean recordsComplete,
            boolean readRequestsStream)
            implements GateEvent {
        public SlotsOpened {
            slots = List.copyOf(slots);
        }
    }

    /** Slots that must be quiesced. */
    record SlotsClosing(String service, List<SlotVersion> slots) implements GateEvent {
        public SlotsClosing {
            slots = List.copyOf(slots);
        }
    }

    /** The session lease runs to this monotonic time in ns. */
    record LeaseExtended(long expiryNs) implements GateEvent {}

    /** A configuration or preset is in force. */
    record ConfigApplied(long version, ClusterConfig config, List<String> removedCustomers) implements GateEvent {
        public ConfigApplied {
            removedCustomers = List.copyOf(removedCustomers);
        }
    }

    /** A removed customer's requests must be counted to zero. */
    record CustomerQuiescing(String customer, long removalOffset) implements GateEvent {}

    /** Load as the backend server reports it: requests in execution there and concurrency it offers now. */
    record LoadReported(int running, int concurrency) implements GateEvent {}

    /** Other companions report how often a request fingerprint coincided with the loss of a backend server. */
    record SuspicionsReceived(List<Suspicion> suspicions) implements GateEvent {
        public SuspicionsReceived {
            suspicions = List.copyOf(suspicions);
        }
    }

    /** Planned stop or drain: no new work from now on. */
    record DrainStarted() implements GateEvent {}
}
