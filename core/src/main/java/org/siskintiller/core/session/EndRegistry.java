package org.siskintiller.core.session;

import java.util.HashMap;
import java.util.Map;

import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.StateImage.EndedSession;

/** Sessions that are known to have ended, by a granted claim of this companion or by the log. */
public final class EndRegistry {

    /**
     * End of a session.
     *
     * @param knownSinceNs time at which this companion learned of it, which is later than the end itself
     * @param graceful whether nothing of the session ran any more when it ended
     * @param mayHaveRecordsInLog whether request records may be in the requests stream
     */
    public record End(long knownSinceNs, boolean graceful, boolean mayHaveRecordsInLog) {}

    private final ControlContext context;
    private final Map<Incarnation, End> ends = new HashMap<>();

    public EndRegistry(ControlContext context) {
        this.context = context;
    }

    /** Records that a claim of this companion was granted. */
    public void claimed(Incarnation incarnation, boolean recordsInLog) {
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
        // Every incarnation that is asked for has once been open, so one that is not open has ended.
        EndedSession record = context.state().ended(incarnation).orElse(null);
        boolean graceful = record != null && record.endedBy() == null;
        End end = new End(context.nowNs(), graceful, true);
        ends.put(incarnation, end);
        return end;
    }

    public boolean isEnded(Incarnation incarnation) {
        return find(incarnation) != null;
    }

    /** Whether a witness no longer acks, and no lease that it acked still runs. */
    public boolean isRetiredWitness(Incarnation witness) {
        return context.state().ended(witness).isPresent()
                && context.nowNs() - find(witness).knownSinceNs() > SessionTiming.WITNESS_RETIRED_NS;
    }

    /** Forgets sessions that the log has forgotten too. */
    public void prune() {
        ends.keySet()
                .removeIf(each -> !context.state().isOpen(each)
                        && context.state().ended(each).isEmpty());
    }
}
