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

    /** The caller cancelled the request or its connection broke. */
    record CallerDisconnected(RequestId id) implements GateEvent {}

    /** The head of the response to a dispatched request arrived; its body may take long. Optional. */
    record ResponseStarted(RequestId id) implements GateEvent {}

    /** A dispatched request ended at the backend server or was not written to it. */
    record Finished(RequestId id, DispatchOutcome outcome) implements GateEvent {}

    /** The standby or the log stored the request records of this sequence number. */
    record RecordsStored(long sequence) implements GateEvent {}

    /** The standby or the log did not store the records of this sequence number in time. */
    record RecordsNotStored(long sequence) implements GateEvent {}

    /** Records of another owner or of the requests stream. */
    record RecordsReceived(boolean reset, List<RequestRecord> records) implements GateEvent {
        public RecordsReceived {
            records = List.copyOf(records);
        }
    }

    /** The requests stream was read to its tail. */
    record RequestsStreamRead() implements GateEvent {}

    /** A renewal quorum of witnesses has recorded that request records may be in the log. */
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

    /** The session lease is valid until this monotonic time in ns. */
    record LeaseExtended(long expiryNs) implements GateEvent {}

    /** A configuration or preset is in force. */
    record ConfigApplied(long version, ClusterConfig config, List<String> removedCustomers) implements GateEvent {
        public ConfigApplied {
            removedCustomers = List.copyOf(removedCustomers);
        }
    }

    /** A customer was removed; the gate reports when none of its requests is left. */
    record CustomerQuiescing(String customer, long removalOffset) implements GateEvent {}

    /** Load report of the backend server: requests that it runs and concurrency that it offers now. */
    record LoadReported(int running, int concurrency) implements GateEvent {}

    /** Reports of other companions about fingerprints that coincided with the loss of a backend server. */
    record SuspicionsReceived(List<Suspicion> suspicions) implements GateEvent {
        public SuspicionsReceived {
            suspicions = List.copyOf(suspicions);
        }
    }

    /** A planned stop or drain started: new requests are refused. */
    record DrainStarted() implements GateEvent {}
}
