package org.siskintiller.core.control;

import java.util.List;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.placement.Planner;

/**
 * Runs the planner. The service's session that opened first appends the proposals. A later session appends them only
 * if the planner has proposed changes for some seconds, the longer the later it opened.
 */
final class PlannerDriver {
    private static final long RUN_INTERVAL_NS = 200_000_000L;
    private static final long STANDBY_RUN_INTERVAL_NS = 1_000_000_000L;
    /** Loads change without records, so the planner also runs when nothing was applied. */
    private static final long IDLE_INTERVAL_NS = 5_000_000_000L;

    private static final long DELAY_PER_POSITION_NS = 3_000_000_000L;
    private static final int MAX_POSITION = 4;

    private final ControlContext context;
    private final Appender appender;
    private final Planner planner;
    private final LoadReports loads;
    private long nextRunNs = Long.MIN_VALUE;
    private long nextIdleNs = Long.MIN_VALUE;
    private long proposalNeededSinceNs = Long.MAX_VALUE;
    private boolean stateChanged = true;
    private OperationId pendingAppend;

    PlannerDriver(ControlContext context, Appender appender, Planner planner, LoadReports loads) {
        this.context = context;
        this.appender = appender;
        this.planner = planner;
        this.loads = loads;
    }

    /** A record that affects placement was applied. */
    void onChanged() {
        stateChanged = true;
    }

    void tick(boolean holdsLease) {
        if (pendingAppend != null && !appender.isPending(pendingAppend)) {
            pendingAppend = null;
        }
        boolean shouldRun = stateChanged || context.nowNs() >= nextIdleNs || proposalNeededSinceNs != Long.MAX_VALUE;
        if (!holdsLease || pendingAppend != null || !shouldRun || context.nowNs() < nextRunNs) {
            return;
        }
        int position = position();
        nextRunNs = context.nowNs() + (position == 0 ? RUN_INTERVAL_NS : STANDBY_RUN_INTERVAL_NS);
        if (position > MAX_POSITION) {
            return;
        }
        stateChanged = false;
        nextIdleNs = context.nowNs() + IDLE_INTERVAL_NS;
        List<LogRecord> proposals = planner.propose(context.state(), context.self(), loads.view(), context.nowNs());
        if (proposals.isEmpty()) {
            proposalNeededSinceNs = Long.MAX_VALUE;
            return;
        }
        proposalNeededSinceNs = Math.min(proposalNeededSinceNs, context.nowNs());
        if (context.nowNs() - proposalNeededSinceNs < position * DELAY_PER_POSITION_NS) {
            return;
        }
        proposalNeededSinceNs = Long.MAX_VALUE;
        for (LogRecord proposal : proposals) {
            pendingAppend = appender.append(proposal);
            context.report(
                    ControlNotice.ASSIGNMENT_PROPOSED, proposal.getClass().getSimpleName());
        }
    }

    /** Number of open sessions of the same service that opened earlier. */
    private int position() {
        Session session = context.state().session(context.self()).orElseThrow();
        List<Incarnation> sessions =
                context.state().sessionsOf(session.backendServer().service());
        int position = sessions.indexOf(context.self());
        return position < 0 ? Integer.MAX_VALUE : position;
    }
}
