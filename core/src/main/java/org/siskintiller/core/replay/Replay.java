package org.siskintiller.core.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;

import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.StateImage.RemovedCustomer;
import org.siskintiller.core.replay.Outcome.Accepted;
import org.siskintiller.core.replay.Outcome.Reason;
import org.siskintiller.core.replay.Outcome.Void;

/** Applies records of the control stream. It is deterministic, so all processes reach the same state. */
public final class Replay {
    public static final int MAX_WITNESSES = 5;
    /**
     * Operation ids and ended sessions are retained for this many records. An older duplicate of a record that can race
     * with others is void nevertheless, since its base version is no longer current.
     */
    public static final long RETENTION_RECORDS = 100_000;

    private Replay() {}

    /** State after a record, and the outcome of the record. */
    public record Step(ClusterState state, Outcome outcome) {}

    /** Applies the record that follows the state's applied offset. */
    public static Step apply(ClusterState state, LogEntry entry) {
        if (entry.offset() != state.appliedOffset() + 1) {
            throw new IllegalArgumentException("record at offset " + entry.offset() + " does not follow offset "
                    + state.appliedOffset() + "; fetch the records between");
        }
        ClusterState.Builder next = state.toBuilder();
        next.appliedOffset = entry.offset();
        Outcome outcome;
        if (state.hasApplied(entry.operationId())) {
            outcome = new Void(Reason.DUPLICATE_OPERATION, entry.operationId().toString());
        } else {
            next.operations = next.operations.with(entry.operationId(), entry.offset());
            outcome = applyRecord(next, entry.record());
        }
        return new Step(next.build(), outcome);
    }

    private static Outcome applyRecord(ClusterState.Builder next, LogRecord record) {
        if (record instanceof LogRecord.SlotsAssigned) {
            return AssignmentReplay.assign(next, (LogRecord.SlotsAssigned) record);
        }
        if (record instanceof LogRecord.SlotsActivated) {
            return AssignmentReplay.activate(next, (LogRecord.SlotsActivated) record);
        }
        if (record instanceof LogRecord.HotKeysAssigned) {
            return AssignmentReplay.assignHotKeys((LogRecord.HotKeysAssigned) record);
        }
        if (record instanceof LogRecord.SessionOpened) {
            return openSession(next, ((LogRecord.SessionOpened) record).session());
        }
        if (record instanceof LogRecord.WitnessesChanged) {
            return changeWitnesses(next, (LogRecord.WitnessesChanged) record);
        }
        if (record instanceof LogRecord.SessionEnded) {
            LogRecord.SessionEnded end = (LogRecord.SessionEnded) record;
            return endSession(next, end.incarnation(), end.endedBy());
        }
        if (record instanceof LogRecord.SessionClosed) {
            return endSession(next, ((LogRecord.SessionClosed) record).incarnation(), null);
        }
        if (record instanceof LogRecord.DrainRequested) {
            return drain(next, (LogRecord.DrainRequested) record);
        }
        if (record instanceof LogRecord.ConfigPublished) {
            LogRecord.ConfigPublished published = (LogRecord.ConfigPublished) record;
            return publish(next, published.baseVersion(), published.config());
        }
        if (record instanceof LogRecord.PresetSwitched) {
            return switchPreset(next, (LogRecord.PresetSwitched) record);
        }
        if (record instanceof LogRecord.CustomerRemoved) {
            return removeCustomer(next, (LogRecord.CustomerRemoved) record);
        }
        if (record instanceof LogRecord.DepartureConfirmed) {
            return confirmDeparture(next, (LogRecord.DepartureConfirmed) record);
        }
        if (record instanceof LogRecord.Snapshot) {
            return prune(next, ((LogRecord.Snapshot) record).throughOffset());
        }
        return Accepted.COMPLETE;
    }

    private static Outcome openSession(ClusterState.Builder next, Session session) {
        Incarnation self = session.incarnation();
        if (next.open.containsKey(self) || next.ended.containsKey(self)) {
            return new Void(Reason.SESSION_KNOWN, self.toString());
        }
        if (!areValidWitnesses(next, self, session.witnesses())) {
            return new Void(Reason.INVALID, "witnesses of " + self + " are not all open sessions");
        }
        List<Session> superseded = sessionsAt(next, session.peerAddress());
        for (Session earlier : superseded) {
            if (session.witnesses().contains(earlier.incarnation())) {
                return new Void(Reason.INVALID, earlier.incarnation() + " used the address of " + self + " before");
            }
        }
        superseded.forEach(earlier -> next.endSession(earlier, self));
        next.openSession(session.withOpenedOffset(next.appliedOffset).withWitnesses(session.witnesses(), 0));
        return Accepted.COMPLETE;
    }

    /**
     * Returns the open sessions at an address, which end when another session opens there. The process that opens it
     * has bound the address for at least the duration of a lease, so the processes of the earlier sessions are lost or
     * isolated and their leases have expired. This also ends sessions whose witnesses are all lost.
     */
    private static List<Session> sessionsAt(ClusterState.Builder next, Address peerAddress) {
        List<Session> sessions = new ArrayList<>();
        next.open.forEach((incarnation, session) -> {
            if (session.peerAddress().equals(peerAddress)) {
                sessions.add(session);
            }
        });
        return sessions;
    }

    private static Outcome changeWitnesses(ClusterState.Builder next, LogRecord.WitnessesChanged change) {
        Session session = next.open.get(change.incarnation());
        if (session == null) {
            return unknownSession(change.incarnation());
        }
        if (session.witnessVersion() != change.baseVersion()) {
            return new Void(Reason.STALE_VERSION, "witnesses are at version " + session.witnessVersion());
        }
        if (change.witnesses().isEmpty() || !areValidWitnesses(next, change.incarnation(), change.witnesses())) {
            return new Void(Reason.INVALID, "witnesses of " + change.incarnation() + " are not all open sessions");
        }
        next.open = next.open.with(
                change.incarnation(), session.withWitnesses(change.witnesses(), change.baseVersion() + 1));
        return Accepted.COMPLETE;
    }

    private static boolean areValidWitnesses(
            ClusterState.Builder next, Incarnation holder, List<Incarnation> witnesses) {
        if (witnesses.size() > MAX_WITNESSES || new HashSet<>(witnesses).size() != witnesses.size()) {
            return false;
        }
        for (Incarnation witness : witnesses) {
            if (witness.equals(holder) || !next.open.containsKey(witness)) {
                return false;
            }
        }
        return true;
    }

    private static Outcome endSession(ClusterState.Builder next, Incarnation incarnation, Incarnation endedBy) {
        Session session = next.open.get(incarnation);
        if (session == null) {
            return unknownSession(incarnation);
        }
        next.endSession(session, endedBy);
        return Accepted.COMPLETE;
    }

    private static Outcome drain(ClusterState.Builder next, LogRecord.DrainRequested request) {
        Session session = next.open.get(request.incarnation());
        if (session == null) {
            return unknownSession(request.incarnation());
        }
        next.open = next.open.with(request.incarnation(), session.withDraining());
        return Accepted.COMPLETE;
    }

    private static Outcome publish(ClusterState.Builder next, long baseVersion, ClusterConfig config) {
        if (baseVersion != next.configVersion) {
            return staleConfig(next);
        }
        for (ServiceConfig service : config.services()) {
            SlotTable existing = next.slots.get(service.name());
            if (service.slots() < 1 || existing != null && existing.slotCount() != service.slots()) {
                // A different slot count maps keys to different slots, so two owners could serve one key.
                return new Void(
                        Reason.INVALID,
                        "the slot count of service " + service.name() + " cannot change; publish a new service");
            }
        }
        if (config.preset(config.activePreset()).isEmpty() && !config.presets().isEmpty()) {
            return new Void(Reason.INVALID, "preset " + config.activePreset() + " is not in the configuration");
        }
        for (ServiceConfig service : config.services()) {
            if (!next.slots.containsKey(service.name())) {
                next.slots = next.slots.with(service.name(), SlotTable.empty(service.slots()));
            }
        }
        for (CustomerConfig customer : config.customers()) {
            next.removed = next.removed.without(customer.name());
        }
        next.config = config;
        next.configVersion++;
        return Accepted.COMPLETE;
    }

    private static Outcome switchPreset(ClusterState.Builder next, LogRecord.PresetSwitched change) {
        if (change.baseVersion() != next.configVersion) {
            return staleConfig(next);
        }
        if (next.config.preset(change.preset()).isEmpty()) {
            return new Void(Reason.INVALID, "preset " + change.preset() + " is not in the configuration");
        }
        next.config = next.config.withActivePreset(change.preset());
        next.configVersion++;
        return Accepted.COMPLETE;
    }

    private static Outcome removeCustomer(ClusterState.Builder next, LogRecord.CustomerRemoved removal) {
        if (removal.baseVersion() != next.configVersion) {
            return staleConfig(next);
        }
        next.config = next.config.withoutCustomer(removal.customer());
        next.removed = next.removed.with(
                removal.customer(), new RemovedCustomer(removal.customer(), next.appliedOffset, List.of()));
        next.configVersion++;
        return Accepted.COMPLETE;
    }

    private static Outcome confirmDeparture(ClusterState.Builder next, LogRecord.DepartureConfirmed confirmation) {
        RemovedCustomer existing = next.removed.get(confirmation.customer());
        if (existing == null || existing.removalOffset() != confirmation.removalOffset()) {
            return new Void(Reason.STALE_VERSION, "no such removal of customer " + confirmation.customer());
        }
        if (!next.open.containsKey(confirmation.incarnation())) {
            return unknownSession(confirmation.incarnation());
        }
        next.removed = next.removed.with(existing.customer(), existing.confirmedBy(confirmation.incarnation()));
        return Accepted.COMPLETE;
    }

    private static Outcome prune(ClusterState.Builder next, long throughOffset) {
        if (throughOffset >= next.appliedOffset) {
            return new Void(Reason.INVALID, "snapshot through offset " + throughOffset + " lies in the future");
        }
        next.snapshotOffset = Math.max(next.snapshotOffset, throughOffset);
        long oldestRetained = next.appliedOffset - RETENTION_RECORDS;
        next.operations.forEach((id, offset) -> {
            if (offset < oldestRetained) {
                next.operations = next.operations.without(id);
            }
        });
        next.ended.forEach((incarnation, end) -> {
            if (end.endedOffset() < oldestRetained) {
                next.ended = next.ended.without(incarnation);
            }
        });
        return Accepted.COMPLETE;
    }

    private static Void staleConfig(ClusterState.Builder next) {
        return new Void(
                Reason.STALE_VERSION,
                "configuration is at version " + next.configVersion + "; read it and publish again");
    }

    private static Void unknownSession(Incarnation incarnation) {
        return new Void(Reason.UNKNOWN_SESSION, incarnation + " is not an open session");
    }
}
