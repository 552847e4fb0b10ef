package org.siskintiller.core.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.model.StateImage.EndedSession;
import org.siskintiller.core.replay.Outcome.Accepted;
import org.siskintiller.core.replay.Outcome.Reason;
import org.siskintiller.core.replay.Outcome.Void;

/** Replay of the records that assign and activate slots. */
final class AssignmentReplay {

    private AssignmentReplay() {}

    static Outcome assign(ClusterState.Builder next, LogRecord.SlotsAssigned record) {
        SlotTable table = next.slots.get(record.service());
        if (table == null) {
            return new Void(Reason.INVALID, "service " + record.service() + " is unknown");
        }
        SlotTable.Editor editor = table.edit();
        List<Integer> voidSlots = new ArrayList<>();
        for (AssignmentChange change : record.changes()) {
            if (change.slot() < 0 || change.slot() >= table.slotCount()) {
                voidSlots.add(change.slot());
                continue;
            }
            Assignment current = editor.get(change.slot());
            if (current.version() != change.baseVersion()
                    || !areValidCandidates(next, record.service(), current, change.candidates())) {
                voidSlots.add(change.slot());
                continue;
            }
            editor.set(
                    change.slot(),
                    new Assignment(current.version() + 1, change.candidates(), predecessors(next, current), null));
        }
        if (voidSlots.size() == record.changes().size()) {
            return new Void(Reason.STALE_VERSION, "no change of service " + record.service() + " is valid");
        }
        next.slots = next.slots.with(record.service(), editor.build());
        return new Accepted(voidSlots);
    }

    static Outcome activate(ClusterState.Builder next, LogRecord.SlotsActivated record) {
        SlotTable table = next.slots.get(record.service());
        if (table == null) {
            return new Void(Reason.INVALID, "service " + record.service() + " is unknown");
        }
        SlotTable.Editor editor = table.edit();
        List<Integer> voidSlots = new ArrayList<>();
        for (SlotVersion activation : record.slots()) {
            Assignment current = table.get(activation.slot());
            if (current.version() != activation.version() || !current.isCandidate(record.incarnation())) {
                voidSlots.add(activation.slot());
                continue;
            }
            editor.set(
                    activation.slot(),
                    new Assignment(current.version(), current.candidates(), Set.of(), record.incarnation()));
        }
        if (voidSlots.size() == record.slots().size()) {
            return new Void(Reason.STALE_VERSION, "no slot of service " + record.service() + " is at that version");
        }
        next.slots = next.slots.with(record.service(), editor.build());
        return new Accepted(voidSlots);
    }

    /**
     * Assignments of hot keys are void until hot keys have an activation and a release separate from those of their
     * slots. Without these, a hot key's owner and the owner of its slot could both serve the key.
     */
    static Outcome assignHotKeys(LogRecord.HotKeysAssigned record) {
        return new Void(Reason.INVALID, "hot keys of service " + record.service() + " are served with their slots");
    }

    /** Candidates must be distinct open sessions of the service. A draining session cannot become a new candidate. */
    private static boolean areValidCandidates(
            ClusterState.Builder next, String service, Assignment current, List<Incarnation> candidates) {
        if (new HashSet<>(candidates).size() != candidates.size()) {
            return false;
        }
        for (Incarnation candidate : candidates) {
            Session session = next.open.get(candidate);
            if (session == null || !session.backendServer().service().equals(service)) {
                return false;
            }
            if (session.draining() && !current.isCandidate(candidate)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Sessions that closed gracefully are excluded. Sessions that ended by a claim are included until the next
     * activation, since their backend servers may still be running a request.
     */
    private static Set<Incarnation> predecessors(ClusterState.Builder next, Assignment current) {
        Set<Incarnation> predecessors = new HashSet<>(current.predecessors());
        predecessors.addAll(current.candidates());
        predecessors.removeIf(session -> !next.open.containsKey(session) && !hasEndedByClaim(next, session));
        return predecessors;
    }

    private static boolean hasEndedByClaim(ClusterState.Builder next, Incarnation incarnation) {
        EndedSession end = next.ended.get(incarnation);
        return end != null && end.endedBy() != null;
    }
}
