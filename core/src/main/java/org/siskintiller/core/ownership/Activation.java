package org.siskintiller.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.session.EndRegistry;
import org.siskintiller.core.session.SessionTiming;

/** Decides whether this companion may serve a slot: conditions 2, 3 and 5 in section 6 of the design page. */
final class Activation {
    private final ControlContext context;
    private final EndRegistry ends;
    /** Maximum of each service over all configurations seen, since a holder may have applied a change later. */
    private final Map<String, Long> longestRequestMs = new HashMap<>();

    Activation(ControlContext context, EndRegistry ends) {
        this.context = context;
        this.ends = ends;
    }

    void onConfigChanged() {
        for (ServiceConfig service : context.state().config().services()) {
            longestRequestMs.merge(service.name(), service.longestRequestMs(), Math::max);
        }
    }

    /** Result of the check. */
    sealed interface Verdict {

        /** The slot may be served as soon as the session lease is held. */
        record Allowed(boolean recordsComplete, boolean readRequestsStream) implements Verdict {}

        /** An earlier candidate of the same version may still serve. */
        record EarlierCandidate(Incarnation candidate) implements Verdict {}

        /** These predecessors may still serve an earlier version. */
        record Predecessors(List<Incarnation> missing) implements Verdict {
            public Predecessors {
                missing = List.copyOf(missing);
            }
        }

        /** A request of an ended session may still run until this time. */
        record Running(long untilNs) implements Verdict {}

        /** This companion must not serve the slot. */
        record NotAssigned() implements Verdict {}
    }

    Verdict check(SlotEntry entry) {
        Assignment assignment = entry.assignment;
        int index = assignment.candidates().indexOf(context.self());
        boolean configured =
                context.state().config().service(entry.id.service()).isPresent();
        if (index < 0 || !configured || assignment.version() < entry.minServableVersion) {
            return new Verdict.NotAssigned();
        }
        for (Incarnation earlier : assignment.candidates().subList(0, index)) {
            if (!ends.isEnded(earlier)) {
                return new Verdict.EarlierCandidate(earlier);
            }
        }
        List<Incarnation> missing = new ArrayList<>();
        for (Incarnation predecessor : blockers(entry)) {
            if (!entry.hasReleased(predecessor) && !ends.isEnded(predecessor)) {
                missing.add(predecessor);
            }
        }
        if (!missing.isEmpty()) {
            return new Verdict.Predecessors(missing);
        }
        long runsUntilNs = runsUntilNs(entry);
        if (runsUntilNs > context.nowNs()) {
            return new Verdict.Running(runsUntilNs);
        }
        return new Verdict.Allowed(recordsComplete(entry), readRequestsStream(entry));
    }

    /** Returns the earlier candidates and the predecessors, in a fixed order. */
    private List<Incarnation> blockers(SlotEntry entry) {
        int index = entry.assignment.candidates().indexOf(context.self());
        List<Incarnation> blockers =
                new ArrayList<>(entry.assignment.candidates().subList(0, index));
        entry.assignment.predecessors().stream()
                .sorted()
                .filter(predecessor -> !predecessor.equals(context.self()) && !blockers.contains(predecessor))
                .forEach(blockers::add);
        return blockers;
    }

    /** Returns the time until which a request of an ended session may run on a backend server without fence checks. */
    long runsUntilNs(SlotEntry entry) {
        Optional<ServiceConfig> config = context.state().config().service(entry.id.service());
        if (config.isEmpty() || config.get().checksFence()) {
            return Long.MIN_VALUE;
        }
        long longestMs = longestRequestMs.merge(entry.id.service(), config.get().longestRequestMs(), Math::max);
        long longestNs = SessionTiming.withDrift(longestMs * SessionTiming.MS);
        long untilNs = Long.MIN_VALUE;
        for (Incarnation blocker : blockers(entry)) {
            EndRegistry.End end = endWithoutRelease(entry, blocker);
            if (end != null && !end.graceful()) {
                untilNs = Math.max(untilNs, end.knownSinceNs() + longestNs);
            }
        }
        return untilNs;
    }

    /**
     * Whether every session that may have served the slot has transferred its request records. Of earlier versions, the
     * session that served the directly preceding one is sufficient, as no other candidate of that version could serve
     * at the same time. Only the gate can tell whether the replica of a lost owner's records is up to date.
     */
    private boolean recordsComplete(SlotEntry entry) {
        if (isIdempotent(entry) || entry.openFence != null) {
            return true;
        }
        boolean previousOwnerReleased = entry.previousOwner != null
                && entry.previousOwnerVersion + 1 == entry.assignment.version()
                && (entry.previousOwner.equals(context.self()) || entry.hasReleased(entry.previousOwner));
        int index = entry.assignment.candidates().indexOf(context.self());
        for (Incarnation blocker : blockers(entry)) {
            boolean mayHaveServedLast = !previousOwnerReleased
                    || entry.assignment.candidates().subList(0, index).contains(blocker);
            if (mayHaveServedLast && endWithoutRelease(entry, blocker) != null) {
                return false;
            }
        }
        return true;
    }

    private boolean readRequestsStream(SlotEntry entry) {
        if (isIdempotent(entry) || entry.openFence != null) {
            return false;
        }
        for (Incarnation blocker : blockers(entry)) {
            EndRegistry.End end = endWithoutRelease(entry, blocker);
            if (end != null && end.mayHaveRecordsInLog()) {
                return true;
            }
        }
        return false;
    }

    private EndRegistry.End endWithoutRelease(SlotEntry entry, Incarnation blocker) {
        return entry.hasReleased(blocker) ? null : ends.find(blocker);
    }

    private boolean isIdempotent(SlotEntry entry) {
        return context.state()
                .config()
                .service(entry.id.service())
                .map(ServiceConfig::idempotent)
                .orElse(false);
    }
}
