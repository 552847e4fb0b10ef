package org.siskintiller.core.control;

import java.util.List;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.placement.Planner;

/**
 * Runs the planner. The session of a service that opened first proposes; the next ones do when a proposal stays
 * necessary for some seconds.
 */
final class PlannerDriver {
    private static final long RUN_INTERVAL_NS = 200_000_000L;
    private static final long STANDBY_RUN_INTERVAL_NS = 1_000_000_000L;
    /** Loads change without records, so the planner also runs when nothing was applied. */
    private static final long IDLE_INTERVAL_NS = 5_000_000_000L;

    private static final long TURN_NS = 3_000_000_000L;
    private static final int MAX_TURNS = 4;

    private final ControlContext context;
    private final Appender appender;
    private final Planner planner;
    private final LoadBook loads;
    private long nextRunNs = Long.MIN_VALUE;
    private long nextIdleNs = Long.MIN_VALUE;
    private long neededSinceNs = Long.MAX_VALUE;
    private boolean changed = true;
    private OperationId pending;

    PlannerDriver(ControlContext context, Appender appender, Planner planner, LoadBook loads) {
        this.context = context;
        this.appender = appender;
        this.planner = planner;
        this.loads = loads;
    }

    /** Something that placement depends on was applied. */
    void onChanged() {
        changed = true;
    }

    void tick(boolean holdsLease) {
        if (pending != null && !appender.isPending(pending)) {
            pending = null;
        }
        boolean due = changed || context.nowNs() >= nextIdleNs || neededSinceNs != Long.MAX_VALUE;
        if (!holdsLease || pending != null || !due || context.nowNs() < nextRunNs) {
            return;
        }
        int turn = turn();
        nextRunNs = context.nowNs() + (turn == 0 ? RUN_INTERVAL_NS : STANDBY_RUN_INTERVAL_NS);
        if (turn > MAX_TURNS) {
            return;
        }
        changed = false;
        nextIdleNs = context.nowNs() + IDLE_INTERVAL_NS;
        List<LogRecord> proposals = planner.propose(context.state(), context.self(), loads.view(), context.nowNs());
        if (proposals.isEmpty()) {
            neededSinceNs = Long.MAX_VALUE;
            return;
        }
        neededSinceNs = Math.min(neededSinceNs, context.nowNs());
        if (context.nowNs() - neededSinceNs < turn * TURN_NS) {
            return;
        }
        neededSinceNs = Long.MAX_VALUE;
        for (LogRecord each : proposals) {
            pending = appender.append(each);
            context.report(ControlNotice.ASSIGNMENT_PROPOSED, each.getClass().getSimpleName());
        }
    }

    /** Number of open sessions of the own service that opened earlier. */
    private int turn() {
        Session own = context.state().session(context.self()).orElseThrow();
        List<Incarnation> sessions =
                context.state().sessionsOf(own.backendServer().service());
        int turn = sessions.indexOf(context.self());
        return turn < 0 ? Integer.MAX_VALUE : turn;
    }
}
