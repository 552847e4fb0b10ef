package org.siskintiller.wire;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.AuditEntry;
import org.siskintiller.core.model.HotKeyChange;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.wire.proto.Proto;

/** Converts protobuf messages into log records. Throws IllegalArgumentException for values that no record allows. */
final class LogRecordReader {

    private LogRecordReader() {}

    static LogRecord fromProto(Proto.LogRecord record) {
        return switch (record.getRecordCase()) {
            case SESSION_OPENED ->
                new LogRecord.SessionOpened(
                        ModelCodec.fromProto(record.getSessionOpened().getSession()));
            case WITNESSES_CHANGED -> witnessesChanged(record.getWitnessesChanged());
            case SESSION_ENDED -> sessionEnded(record.getSessionEnded());
            case SESSION_CLOSED ->
                new LogRecord.SessionClosed(
                        new Incarnation(record.getSessionClosed().getIncarnation()));
            case SLOTS_ASSIGNED -> slotsAssigned(record.getSlotsAssigned());
            case SLOTS_ACTIVATED -> slotsActivated(record.getSlotsActivated());
            case HOT_KEYS_ASSIGNED -> hotKeysAssigned(record.getHotKeysAssigned());
            case CONFIG_PUBLISHED -> configPublished(record.getConfigPublished());
            case PRESET_SWITCHED -> presetSwitched(record.getPresetSwitched());
            case CUSTOMER_REMOVED -> customerRemoved(record.getCustomerRemoved());
            case DEPARTURE_CONFIRMED -> departureConfirmed(record.getDepartureConfirmed());
            case DEPARTURE_PROVED -> departureProved(record.getDepartureProved());
            case DRAIN_REQUESTED -> drainRequested(record.getDrainRequested());
            case SNAPSHOT -> snapshot(record.getSnapshot());
            case AUDITED -> audited(record.getAudited());
            case RECORD_NOT_SET -> throw new IllegalArgumentException("no known kind of log record");
        };
    }

    private static LogRecord witnessesChanged(Proto.WitnessesChanged record) {
        return new LogRecord.WitnessesChanged(
                new Incarnation(record.getIncarnation()),
                record.getBaseVersion(),
                ModelCodec.incarnations(record.getWitnessesList()));
    }

    private static LogRecord sessionEnded(Proto.SessionEnded record) {
        return new LogRecord.SessionEnded(
                new Incarnation(record.getIncarnation()),
                record.hasEndedBy() ? new Incarnation(record.getEndedBy()) : null,
                record.getClaimOffset());
    }

    private static LogRecord slotsAssigned(Proto.SlotsAssigned record) {
        List<AssignmentChange> changes = new ArrayList<>(record.getChangesCount());
        for (Proto.AssignmentChange change : record.getChangesList()) {
            changes.add(new AssignmentChange(
                    Decoding.requireNonNegative(change.getSlot(), "slot"),
                    change.getBaseVersion(),
                    ModelCodec.incarnations(change.getCandidatesList())));
        }
        Incarnation proposer = record.hasProposer() ? new Incarnation(record.getProposer()) : null;
        return new LogRecord.SlotsAssigned(record.getService(), changes, proposer, record.getReason());
    }

    private static LogRecord slotsActivated(Proto.SlotsActivated record) {
        return new LogRecord.SlotsActivated(
                record.getService(),
                ModelCodec.slotVersionsFromProto(record.getSlotsList()),
                new Incarnation(record.getIncarnation()));
    }

    private static LogRecord hotKeysAssigned(Proto.HotKeysAssigned record) {
        List<HotKeyChange> changes = new ArrayList<>(record.getChangesCount());
        for (Proto.HotKeyChange change : record.getChangesList()) {
            changes.add(new HotKeyChange(
                    change.getKey(), change.getBaseVersion(), ModelCodec.incarnations(change.getCandidatesList())));
        }
        Incarnation proposer = record.hasProposer() ? new Incarnation(record.getProposer()) : null;
        return new LogRecord.HotKeysAssigned(record.getService(), changes, proposer);
    }

    private static LogRecord configPublished(Proto.ConfigPublished record) {
        return new LogRecord.ConfigPublished(
                record.getBaseVersion(), ConfigCodec.fromProto(record.getConfig()), record.getOperator());
    }

    private static LogRecord presetSwitched(Proto.PresetSwitched record) {
        return new LogRecord.PresetSwitched(record.getBaseVersion(), record.getPreset(), record.getOperator());
    }

    private static LogRecord customerRemoved(Proto.CustomerRemoved record) {
        return new LogRecord.CustomerRemoved(record.getBaseVersion(), record.getCustomer(), record.getOperator());
    }

    private static LogRecord departureConfirmed(Proto.DepartureConfirmed record) {
        return new LogRecord.DepartureConfirmed(
                record.getCustomer(), record.getRemovalOffset(), new Incarnation(record.getIncarnation()));
    }

    private static LogRecord departureProved(Proto.DepartureProved record) {
        return new LogRecord.DepartureProved(
                record.getCustomer(),
                record.getRemovalOffset(),
                ModelCodec.incarnations(record.getConfirmedList()),
                record.getOperator());
    }

    private static LogRecord drainRequested(Proto.DrainRequested record) {
        return new LogRecord.DrainRequested(new Incarnation(record.getIncarnation()), record.getRequestedBy());
    }

    private static LogRecord snapshot(Proto.Snapshot record) {
        return new LogRecord.Snapshot(record.getThroughOffset(), StateImageCodec.fromProto(record.getState()));
    }

    private static LogRecord audited(Proto.Audited record) {
        return new LogRecord.Audited(new AuditEntry(
                record.getWho(), record.getWhat(), record.getFrom(), record.getTo(), record.getOutcome()));
    }
}
