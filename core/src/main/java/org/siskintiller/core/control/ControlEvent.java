package org.siskintiller.core.control;

import java.util.List;

import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotVersion;

/** Input of the control plane. */
public sealed interface ControlEvent {

    /** Time has passed. The node sends one at least every 50 ms. */
    record Tick() implements ControlEvent {}

    /** Records were read from the log. atTail: nothing follows them in the log at the time of reading. */
    record RecordsRead(List<LogEntry> entries, boolean atTail) implements ControlEvent {
        public RecordsRead {
            entries = List.copyOf(entries);
        }
    }

    /** The log stored the records of an append. */
    record AppendStored(OperationId operationId, long offset) implements ControlEvent {}

    /** The log refused or did not answer an append. The records may still take effect later. */
    record AppendUncertain(OperationId operationId) implements ControlEvent {}

    /** A message of another companion arrived. */
    record MessageReceived(PeerMessage message) implements ControlEvent {}

    /**
     * Nothing of these slots is queued or runs any more. Answers {@link ControlAction.CloseSlots}.
     *
     * @param records request records of the slots, which go to the next owner
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

    /** Own load over the last interval, in requests per second. */
    record LoadMeasured(double load, List<PeerMessage.SlotLoad> slots, List<PeerMessage.KeyLoad> hotKeys)
            implements ControlEvent {
        public LoadMeasured {
            slots = List.copyOf(slots);
            hotKeys = List.copyOf(hotKeys);
        }
    }

    /** The backend server became able or unable to serve. */
    record BackendServerChanged(boolean serving) implements ControlEvent {}

    /** The gate changes how it stores request records: true before the first one goes to the log. */
    record RecordsInLogRequested() implements ControlEvent {}

    /** No request of the removed customer runs or is queued here. */
    record CustomerQuiesced(String customer, long removalOffset) implements ControlEvent {}

    /** Planned stop: hand over all slots, then close the session. */
    record StopRequested(String requestedBy) implements ControlEvent {}
}
