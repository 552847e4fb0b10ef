package org.siskintiller.core.session;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.StateImage.EndedSession;

/** Sessions that are known to have ended, by a granted claim of this companion or by the log. */
public final class EndRegistry {

    /**
     * End of a session.
     *
     * @param knownSinceNs time at which this companion detected the end, which is later than the end itself
     * @param graceful whether no request of the session was running when it ended
     * @param mayHaveRecordsInLog whether request records may be in the requests stream
     */
    public record End(long knownSinceNs, boolean graceful, boolean mayHaveRecordsInLog) {}

    private final ControlContext context;
    private final Map<Incarnation, End> ends = new HashMap<>();
    private final Set<Incarnation> superseded = new HashSet<>();

    public EndRegistry(ControlContext context) {
        this.context = context;
    }

    /** Records that a claim of this companion was granted. */
    public void recordClaimed(Incarnation incarnation, boolean recordsInLog) {
        ends.putIfAbsent(incarnation, new End(context.nowNs(), false, recordsInLog));
    }

    /** Returns the end of a session, or null while it may still hold its lease. */
    public End find(Incarnation incarnation) {
        End known = ends.get(incarnation);
        if (known != null) {
            return known;
        }
        if (context.state().isOpen(incarnation)) {
            return null;
        }
        // Callers pass only incarnations that were open at some time, so one that is not open has ended.
        EndedSession record = context.state().ended(incarnation).orElse(null);
        boolean graceful = record != null && record.endedBy() == null;
        End end = new End(context.nowNs(), graceful, true);
        ends.put(incarnation, end);
        return end;
    }

    public boolean isEnded(Incarnation incarnation) {
        return find(incarnation) != null;
    }

    /** Records that a new session at the same address ended this one, so its process no longer acts for it. */
    public void markSuperseded(Incarnation incarnation) {
        superseded.add(incarnation);
    }

    /**
     * Whether a witness has stopped acking and all leases that it acked have expired. The end of its session by a claim
     * is not sufficient: while the log is down, its process keeps acking, since holders cannot replace it as a witness.
     */
    public boolean isRetiredWitness(Incarnation witness) {
        EndedSession record = context.state().ended(witness).orElse(null);
        if (record == null) {
            return false;
        }
        boolean closed = record.endedBy() == null;
        return (closed || isSuperseded(record))
                && context.nowNs() - find(witness).knownSinceNs() > SessionTiming.WITNESS_RETIRED_NS;
    }

    private boolean isSuperseded(EndedSession record) {
        if (superseded.contains(record.incarnation())) {
            return true;
        }
        Session successor = context.state().session(record.endedBy()).orElse(null);
        return successor != null && successor.openedOffset() == record.endedOffset();
    }

    /** Removes sessions that are no longer part of the replayed state. */
    public void prune() {
        ends.keySet()
                .removeIf(incarnation -> !context.state().isOpen(incarnation)
                        && context.state().ended(incarnation).isEmpty());
        superseded.removeIf(incarnation -> context.state().ended(incarnation).isEmpty());
    }
}
