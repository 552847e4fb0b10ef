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

/** Decides whether a slot may be served: conditions 2, 3 and 5 of the design page, section 6. */
final class Activation {
    private final ControlContext context;
    private final EndRegistry ends;
    /** Longest request of each service under any configuration seen, since a holder may have learned of it later. */
    private final Map<String, Long> longestRequestMs = new HashMap<>();

    Activation(ControlContext context, EndRegistry ends) {
        this.context = context;
        this.ends = ends;
    }

    void onConfigChanged() {
        for (ServiceConfig each : context.state().config().services()) {
            longestRequestMs.merge(each.name(), each.longestRequestMs(), Math::max);
        }
    }

    /** Result of the check. */
    sealed interface Verdict {

        /** Nothing stands against the activation but the session lease. */
        record Allowed(boolean recordsComplete, boolean readRequestsStream) implements Verdict {}

        /** A candidate before this one may serve. */
        record EarlierCandidate(Incarnation candidate) implements Verdict {}

        /** These predecessors may serve an earlier version. */
        record Predecessors(List<Incarnation> missing) implements Verdict {
            public Predecessors {
                missing = List.copyOf(missing);
            }
        }

        /** A request of an ended session may still run until this time. */
        record Running(long untilNs) implements Verdict {}

        /** The slot is not this companion's to serve. */
        record NotAssigned() implements Verdict {}
    }

    Verdict check(SlotEntry entry) {
        Assignment assignment = entry.assignment;
        int index = assignment.candidates().indexOf(context.self());
        boolean configured =
                context.state().config().service(entry.id.service()).isPresent();
        if (index < 0 || !configured || assignment.version() < entry.promisedVersion) {
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

    /** Earlier candidates and predecessors, in a fixed order. */
    private List<Incarnation> blockers(SlotEntry entry) {
        int index = entry.assignment.candidates().indexOf(context.self());
        List<Incarnation> blockers =
                new ArrayList<>(entry.assignment.candidates().subList(0, index));
        entry.assignment.predecessors().stream()
                .sorted()
                .filter(each -> !each.equals(context.self()) && !blockers.contains(each))
                .forEach(blockers::add);
        return blockers;
    }

    /** Time until which a request of an ended session may run on a backend server that checks no fence. */
    long runsUntilNs(SlotEntry entry) {
        Optional<ServiceConfig> config = context.state().config().service(entry.id.service());
        if (config.isEmpty() || config.get().checksFence()) {
            return Long.MIN_VALUE;
        }
        long longestMs = longestRequestMs.merge(entry.id.service(), config.get().longestRequestMs(), Math::max);
        long longestNs = SessionTiming.withDrift(longestMs * SessionTiming.MS);
        long untilNs = Long.MIN_VALUE;
        for (Incarnation each : blockers(entry)) {
            EndRegistry.End end = endWithoutRelease(entry, each);
            if (end != null && !end.graceful()) {
                untilNs = Math.max(untilNs, end.knownSinceNs() + longestNs);
            }
        }
        return untilNs;
    }

    /**
     * Request records are complete when every session that may have served has handed them over. Of earlier versions,
     * the server of the one directly before is enough, since no other candidate of that version could serve beside it.
     * Whether the copy of a lost owner was synchronised here, only the gate knows.
     */
    private boolean recordsComplete(SlotEntry entry) {
        if (isIdempotent(entry) || entry.open != null) {
            return true;
        }
        boolean serverReleased = entry.earlierServer != null
                && entry.earlierVersion + 1 == entry.assignment.version()
                && (entry.earlierServer.equals(context.self()) || entry.hasReleased(entry.earlierServer));
        int index = entry.assignment.candidates().indexOf(context.self());
        for (Incarnation each : blockers(entry)) {
            boolean mayHaveServedLast = !serverReleased
                    || entry.assignment.candidates().subList(0, index).contains(each);
            if (mayHaveServedLast && endWithoutRelease(entry, each) != null) {
                return false;
            }
        }
        return true;
    }

    private boolean readRequestsStream(SlotEntry entry) {
        if (isIdempotent(entry) || entry.open != null) {
            return false;
        }
        for (Incarnation each : blockers(entry)) {
            EndRegistry.End end = endWithoutRelease(entry, each);
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
