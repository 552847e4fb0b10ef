package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Outcome;
import org.siskintiller.core.replay.Replay;
import org.siskintiller.core.session.EndRegistry;

/** Applies records and notifies the parts of the control plane that each of them affects. */
final class RecordDispatch {
    private final ControlPlane plane;
    private final EndRegistry ends;

    RecordDispatch(ControlPlane plane, EndRegistry ends) {
        this.plane = plane;
        this.ends = ends;
    }

    /** Applies the received records up to the first gap. Returns whether the state has changed. */
    boolean applyAll() {
        boolean changed = false;
        while (!plane.shutdown().isFinished()) {
            LogEntry entry = plane.relay().next();
            if (entry != null) {
                apply(entry);
                changed = true;
                continue;
            }
            ClusterState snapshot = plane.relay().snapshot();
            if (snapshot == null) {
                break;
            }
            restoreSnapshot(snapshot);
            changed = true;
        }
        return changed;
    }

    private void apply(LogEntry entry) {
        ClusterState before = plane.context().state();
        Replay.Step step = Replay.apply(before, entry);
        plane.context().replaceState(step.state());
        boolean appendedHere = plane.appender().onRead(entry.operationId());
        boolean accepted = step.outcome() instanceof Outcome.Accepted;
        if (appendedHere && !accepted) {
            plane.context().report(ControlNotice.RECORD_VOID, step.outcome().toString());
            plane.opener().onVoid(entry.operationId());
        }
        if (entry.record() instanceof LogRecord.WitnessesChanged) {
            onWitnessesChanged(entry, (LogRecord.WitnessesChanged) entry.record(), accepted);
        } else if (accepted) {
            onAccepted(entry.record(), before);
        }
    }

    private void onAccepted(LogRecord record, ClusterState before) {
        if (record instanceof LogRecord.SlotsAssigned) {
            onAssigned((LogRecord.SlotsAssigned) record, before);
        } else if (record instanceof LogRecord.SlotsActivated) {
            LogRecord.SlotsActivated activated = (LogRecord.SlotsActivated) record;
            for (SlotVersion slot : activated.slots()) {
                plane.table().onActivated(new SlotId(activated.service(), slot.slot()));
            }
            plane.planner().onChanged();
        } else if (record instanceof LogRecord.SessionOpened) {
            onSuperseded(before);
            onOpened(((LogRecord.SessionOpened) record).session());
        } else if (record instanceof LogRecord.SessionEnded) {
            LogRecord.SessionEnded end = (LogRecord.SessionEnded) record;
            onEnded(end.incarnation(), end.endedBy());
        } else if (record instanceof LogRecord.SessionClosed) {
            onEnded(((LogRecord.SessionClosed) record).incarnation(), null);
        } else if (record instanceof LogRecord.DrainRequested || record instanceof LogRecord.PresetSwitched) {
            plane.planner().onChanged();
        } else if (record instanceof LogRecord.ConfigPublished) {
            plane.table().onConfigChanged();
            plane.departures().onChanged();
            plane.planner().onChanged();
        } else if (record instanceof LogRecord.CustomerRemoved) {
            plane.departures().onChanged();
        } else if (record instanceof LogRecord.Snapshot) {
            ends.prune();
        }
    }

    private void onAssigned(LogRecord.SlotsAssigned record, ClusterState before) {
        for (AssignmentChange change : record.changes()) {
            Assignment earlier = before.assignment(record.service(), change.slot());
            Assignment current = plane.context().state().assignment(record.service(), change.slot());
            if (current.version() != earlier.version()) {
                plane.table().onAssigned(new SlotId(record.service(), change.slot()), earlier);
            }
        }
        plane.planner().onChanged();
    }

    /** Handles the end of open sessions whose address the session that has just opened now uses. */
    private void onSuperseded(ClusterState before) {
        ClusterState now = plane.context().state();
        before.forEachOpenSession(earlier -> {
            if (!now.isOpen(earlier.incarnation())) {
                ends.markSuperseded(earlier.incarnation());
                onEnded(
                        earlier.incarnation(),
                        now.ended(earlier.incarnation()).orElseThrow().endedBy());
            }
        });
    }

    private void onOpened(Session session) {
        if (session.incarnation().equals(plane.context().self())) {
            onOwnSessionOpened(session);
        } else if (session.witnesses().contains(plane.context().self())) {
            plane.witness().onSelectedAsWitness(session.incarnation());
        }
        plane.planner().onChanged();
    }

    private void onOwnSessionOpened(Session session) {
        plane.context().report(ControlNotice.SESSION_OPENED, session.witnesses().size() + " witnesses");
        plane.lease().onOpened(session.witnesses());
        plane.departures().onChanged();
        plane.shutdown().onOpened();
    }

    private void onEnded(Incarnation ended, Incarnation endedBy) {
        if (ended.equals(plane.context().self())) {
            plane.shutdown().onOwnSessionEnded(endedBy);
            return;
        }
        ends.find(ended);
        plane.table().onEnded(ended);
        plane.loads().onEnded(ended);
        plane.planner().onChanged();
    }

    private void onWitnessesChanged(LogEntry entry, LogRecord.WitnessesChanged change, boolean accepted) {
        if (change.incarnation().equals(plane.context().self())) {
            plane.witnessChanges().onRead(entry.operationId(), change, accepted);
        } else if (accepted && change.witnesses().contains(plane.context().self())) {
            plane.witness().onSelectedAsWitness(change.incarnation());
        }
    }

    /** Replaces the state by a snapshot when the records before it are no longer available. */
    private void restoreSnapshot(ClusterState snapshot) {
        Incarnation self = plane.context().self();
        List<Incarnation> openBefore = new ArrayList<>();
        plane.context().state().forEachOpenSession(session -> openBefore.add(session.incarnation()));
        plane.context().replaceState(snapshot);
        plane.appender().onStateReplaced();
        plane.opener().onStateReplaced();
        Session session = snapshot.session(self).orElse(null);
        if (session != null && !plane.lease().isOpen()) {
            onOwnSessionOpened(session);
        } else if (session == null && plane.lease().isOpen()) {
            plane.shutdown().onOwnSessionEnded(self);
            return;
        } else if (session != null && !session.witnesses().equals(plane.lease().witnesses())) {
            plane.witnessChanges().onStateReplaced(session.witnesses());
        }
        snapshot.forEachOpenSession(holder -> {
            if (holder.witnesses().contains(self)) {
                plane.witness().onSelectedAsWitness(holder.incarnation());
            }
        });
        plane.table().rebuild();
        for (Incarnation incarnation : openBefore) {
            if (!snapshot.isOpen(incarnation)) {
                onEnded(incarnation, incarnation);
            }
        }
        plane.departures().onChanged();
        plane.planner().onChanged();
    }
}
