package org.siskintiller.core.control;

import java.util.List;

import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotVersion;

/** Input of the control plane. */
public sealed interface ControlEvent {

    /** Periodic event. The node sends one at least every 50 ms. */
    record Tick() implements ControlEvent {}

    /**
     * Records were read from the log.
     *
     * @param atTail the log held no later records at the time of reading
     */
    record RecordsRead(List<LogEntry> entries, boolean atTail) implements ControlEvent {
        public RecordsRead {
            entries = List.copyOf(entries);
        }
    }

    /** The log stored the record of an append. */
    record AppendStored(OperationId operationId, long offset) implements ControlEvent {}

    /** The log rejected an append or did not respond to it. The record may still take effect later. */
    record AppendUncertain(OperationId operationId) implements ControlEvent {}

    /** A message from another companion was received. */
    record MessageReceived(PeerMessage message) implements ControlEvent {}

    /**
     * No request of these slots is queued or running any more. Sent in response to {@link ControlAction.CloseSlots}.
     *
     * @param records request records of the slots, which are transferred to the next owner
     */
    record SlotsQuiesced(String service, List<SlotVersion> slots, List<RequestRecord> records) implements ControlEvent {
        public SlotsQuiesced {
            slots = List.copyOf(slots);
            records = List.copyOf(records);
        }

        public SlotsQuiesced(String service, List<SlotVersion> slots) {
            this(service, slots, List.of());
        }
    }

    /** Load of this companion over the last interval, in requests per second. */
    record LoadMeasured(double load, List<PeerMessage.SlotLoad> slots, List<PeerMessage.KeyLoad> hotKeys)
            implements ControlEvent {
        public LoadMeasured {
            slots = List.copyOf(slots);
            hotKeys = List.copyOf(hotKeys);
        }
    }

    /** The backend server became able or unable to serve. */
    record BackendServerChanged(boolean serving) implements ControlEvent {}

    /** The gate is about to store request records in the log, and must not do so before RecordsInLogConfirmed. */
    record RecordsInLogRequested() implements ControlEvent {}

    /** No request of the removed customer is running or queued at this companion. */
    record CustomerQuiesced(String customer, long removalOffset) implements ControlEvent {}

    /** Planned stop: the control plane hands over all slots, then closes the session. */
    record StopRequested(String requestedBy) implements ControlEvent {}
}
