package org.siskintiller.wire;

import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.AuditEntry;
import org.siskintiller.core.model.HotKeyChange;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.wire.proto.Proto;

/** Converts log records into protobuf messages. */
final class LogRecordWriter {

    private LogRecordWriter() {}

    static Proto.LogRecord toProto(LogRecord record) {
        Proto.LogRecord.Builder builder = Proto.LogRecord.newBuilder();
        if (record instanceof LogRecord.SessionOpened opened) {
            builder.getSessionOpenedBuilder().setSession(ModelCodec.toProto(opened.session()));
        } else if (record instanceof LogRecord.WitnessesChanged changed) {
            builder.getWitnessesChangedBuilder()
                    .setIncarnation(changed.incarnation().id())
                    .setBaseVersion(changed.baseVersion())
                    .addAllWitnesses(ModelCodec.ids(changed.witnesses()));
        } else if (record instanceof LogRecord.SessionEnded ended) {
            builder.setSessionEnded(sessionEnded(ended));
        } else if (record instanceof LogRecord.SessionClosed closed) {
            builder.getSessionClosedBuilder()
                    .setIncarnation(closed.incarnation().id());
        } else if (record instanceof LogRecord.DrainRequested drain) {
            builder.getDrainRequestedBuilder()
                    .setIncarnation(drain.incarnation().id())
                    .setRequestedBy(drain.requestedBy());
        } else if (!addIfAssignmentOrSnapshot(builder, record)) {
            addConfigDepartureOrAudit(builder, record);
        }
        return builder.build();
    }

    /** Returns false if the record is of another kind. */
    private static boolean addIfAssignmentOrSnapshot(Proto.LogRecord.Builder builder, LogRecord record) {
        if (record instanceof LogRecord.SlotsAssigned assigned) {
            builder.setSlotsAssigned(slotsAssigned(assigned));
        } else if (record instanceof LogRecord.SlotsActivated activated) {
            builder.getSlotsActivatedBuilder()
                    .setService(activated.service())
                    .addAllSlots(ModelCodec.slotVersionsToProto(activated.slots()))
                    .setIncarnation(activated.incarnation().id());
        } else if (record instanceof LogRecord.HotKeysAssigned assigned) {
            builder.setHotKeysAssigned(hotKeysAssigned(assigned));
        } else if (record instanceof LogRecord.Snapshot snapshot) {
            builder.getSnapshotBuilder()
                    .setThroughOffset(snapshot.throughOffset())
                    .setState(StateImageCodec.toProto(snapshot.state()));
        } else {
            return false;
        }
        return true;
    }

    private static void addConfigDepartureOrAudit(Proto.LogRecord.Builder builder, LogRecord record) {
        if (record instanceof LogRecord.ConfigPublished published) {
            builder.getConfigPublishedBuilder()
                    .setBaseVersion(published.baseVersion())
                    .setConfig(ConfigCodec.toProto(published.config()))
                    .setOperator(published.operator());
        } else if (record instanceof LogRecord.PresetSwitched switched) {
            builder.getPresetSwitchedBuilder()
                    .setBaseVersion(switched.baseVersion())
                    .setPreset(switched.preset())
                    .setOperator(switched.operator());
        } else if (record instanceof LogRecord.CustomerRemoved removed) {
            builder.getCustomerRemovedBuilder()
                    .setBaseVersion(removed.baseVersion())
                    .setCustomer(removed.customer())
                    .setOperator(removed.operator());
        } else if (record instanceof LogRecord.DepartureConfirmed confirmed) {
            builder.getDepartureConfirmedBuilder()
                    .setCustomer(confirmed.customer())
                    .setRemovalOffset(confirmed.removalOffset())
                    .setIncarnation(confirmed.incarnation().id());
        } else if (record instanceof LogRecord.DepartureProved proved) {
            builder.getDepartureProvedBuilder()
                    .setCustomer(proved.customer())
                    .setRemovalOffset(proved.removalOffset())
                    .addAllConfirmed(ModelCodec.ids(proved.confirmed()))
                    .setOperator(proved.operator());
        } else if (record instanceof LogRecord.Audited audited) {
            builder.setAudited(audited(audited.entry()));
        } else {
            throw new IllegalStateException("no encoding for " + record.getClass());
        }
    }

    private static Proto.SessionEnded sessionEnded(LogRecord.SessionEnded ended) {
        Proto.SessionEnded.Builder builder = Proto.SessionEnded.newBuilder()
                .setIncarnation(ended.incarnation().id())
                .setClaimOffset(ended.claimOffset());
        if (ended.endedBy() != null) {
            builder.setEndedBy(ended.endedBy().id());
        }
        return builder.build();
    }

    private static Proto.SlotsAssigned slotsAssigned(LogRecord.SlotsAssigned assigned) {
        Proto.SlotsAssigned.Builder builder =
                Proto.SlotsAssigned.newBuilder().setService(assigned.service()).setReason(assigned.reason());
        for (AssignmentChange change : assigned.changes()) {
            builder.addChangesBuilder()
                    .setSlot(change.slot())
                    .setBaseVersion(change.baseVersion())
                    .addAllCandidates(ModelCodec.ids(change.candidates()));
        }
        if (assigned.proposer() != null) {
            builder.setProposer(assigned.proposer().id());
        }
        return builder.build();
    }

    private static Proto.HotKeysAssigned hotKeysAssigned(LogRecord.HotKeysAssigned assigned) {
        Proto.HotKeysAssigned.Builder builder =
                Proto.HotKeysAssigned.newBuilder().setService(assigned.service());
        for (HotKeyChange change : assigned.changes()) {
            builder.addChangesBuilder()
                    .setKey(change.key())
                    .setBaseVersion(change.baseVersion())
                    .addAllCandidates(ModelCodec.ids(change.candidates()));
        }
        if (assigned.proposer() != null) {
            builder.setProposer(assigned.proposer().id());
        }
        return builder.build();
    }

    private static Proto.Audited audited(AuditEntry entry) {
        return Proto.Audited.newBuilder()
                .setWho(entry.who())
                .setWhat(entry.what())
                .setFrom(entry.from())
                .setTo(entry.to())
                .setOutcome(entry.outcome())
                .build();
    }
}
