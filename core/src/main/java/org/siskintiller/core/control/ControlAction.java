package org.siskintiller.core.control;

import java.util.List;

import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotVersion;

/** Decision of the control plane that the node carries out. */
public sealed interface ControlAction {

    /** Sends a message to another companion. */
    record Send(Incarnation to, PeerMessage message) implements ControlAction {}

    /** Appends a record to the control stream. */
    record Append(OperationId operationId, LogRecord record) implements ControlAction {}

    /** The session lease expires at this monotonic time in ns; Long.MIN_VALUE when it is lost. */
    record LeaseExtended(long expiryNs) implements ControlAction {}

    /**
     * Slots that the gate may now serve.
     *
     * @param standby first live standby, which stores the second copy of request records, or null
     * @param recordsComplete false after the request records were lost
     * @param readRequestsStream the gate reads the requests stream to its tail before it admits non-idempotent requests
     */
    record OpenSlots(
            String service,
            List<OpenSlot> slots,
            Incarnation standby,
            boolean recordsComplete,
            boolean readRequestsStream)
            implements ControlAction {
        public OpenSlots {
            slots = List.copyOf(slots);
        }
    }

    /** One opened slot with its fencing token. */
    record OpenSlot(int slot, Fence fence) {}

    /** The gate admits no more requests for these slots, completes the running ones, then reports SlotsQuiesced. */
    record CloseSlots(String service, List<SlotVersion> slots) implements ControlAction {
        public CloseSlots {
            slots = List.copyOf(slots);
        }
    }

    /** The gate stores request records received from a predecessor or owner. */
    record StoreRecords(boolean reset, List<RequestRecord> records) implements ControlAction {
        public StoreRecords {
            records = List.copyOf(records);
        }
    }

    /** The standby acknowledged replicated request records. */
    record RecordsReplicated(Incarnation standby, long sequence) implements ControlAction {}

    /** A renewal quorum of witnesses has acknowledged that request records may be in the log. */
    record RecordsInLogConfirmed() implements ControlAction {}

    /** The cluster state has changed; the node reads it from the control plane. */
    record StateChanged(long appliedOffset, long configVersion) implements ControlAction {}

    /** A customer was removed: the gate refuses its requests, then reports CustomerQuiesced. */
    record QuiesceCustomer(String customer, long removalOffset) implements ControlAction {}

    /** This incarnation has ended. The node starts a control plane with a new incarnation. */
    record Retire(String reason) implements ControlAction {}

    /** The planned stop is complete; the process may exit. */
    record Stopped() implements ControlAction {}

    /** Event that the node writes to its log under a number. */
    record Report(ControlNotice notice, String detail) implements ControlAction {}
}
