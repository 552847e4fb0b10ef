package org.siskintiller.core.control;

import org.siskintiller.core.invariant.Invariant;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.ownership.OwnershipTable;
import org.siskintiller.core.session.SessionLease;
import org.siskintiller.core.session.SessionTiming;

/** Ends the own incarnation: a planned stop, the loss of the backend server, or the loss of the lease. */
final class Shutdown {
    /** A log that has not stored a record for this long is taken to be down. */
    private static final long LOG_TIMEOUT_NS = 3_000 * SessionTiming.MS;
    /**
     * Slots that nobody took over by then are closed here, and their standbys take over. It leaves a margin below the
     * 3 s after which a leaving backend server gets no new work.
     */
    private static final long MOVE_TIMEOUT_NS = 2_000 * SessionTiming.MS;
    /** A stop does not wait longer than this for running requests. */
    private static final long DRAIN_TIMEOUT_NS = 20_000 * SessionTiming.MS;
    /** The lease is given up repeatedly for this long, since datagrams may be lost. */
    private static final long GIVE_UP_NS = 300 * SessionTiming.MS;
    /** Holders replace a witness whose end they read within about two seconds. */
    private static final long WITNESS_TIME_NS = 5_000 * SessionTiming.MS;

    private final ControlContext context;
    private final Appender appender;
    private final SessionOpener opener;
    private final SessionLease lease;
    private final OwnershipTable table;
    private Phase phase = Phase.NONE;
    private String requestedBy;
    private String reason;
    private long sinceNs;
    private long nextGiveUpNs;
    private long nextCheckNs = Long.MIN_VALUE;

    Shutdown(
            ControlContext context, Appender appender, SessionOpener opener, SessionLease lease, OwnershipTable table) {
        this.context = context;
        this.appender = appender;
        this.opener = opener;
        this.lease = lease;
        this.table = table;
    }

    /** Whether the incarnation no longer acts, and only records its own end. */
    boolean isRetiring() {
        return phase == Phase.RETIRING;
    }

    boolean isOver() {
        return phase == Phase.OVER;
    }

    void requestStop(String newRequestedBy) {
        if (phase != Phase.NONE) {
            // An incarnation that is about to retire stops the process instead.
            requestedBy = requestedBy == null ? newRequestedBy : requestedBy;
            return;
        }
        requestedBy = newRequestedBy;
        if (lease.isOpen()) {
            drain();
        } else if (opener.cancel()) {
            enter(Phase.STOP_WHEN_OPENED);
        } else {
            leave();
        }
    }

    /** The own session was read from the log. */
    void onOpened() {
        if (phase == Phase.STOP_WHEN_OPENED) {
            drain();
        } else if (!opener.isServing()) {
            onBackendServerLost();
        }
    }

    /** Gives the slots to their standbys at once: nothing can be served here. */
    void onBackendServerLost() {
        if (!lease.isOpen() || phase == Phase.GIVING_UP || phase == Phase.RETIRING || phase == Phase.OVER) {
            return;
        }
        reason = "the backend server was lost";
        giveUp();
    }

    /** The lease cannot be renewed any more. */
    void onLeaseNotRenewable() {
        if (reason == null) {
            reason = "the lease was lost and its witnesses cannot renew it";
        }
        if (requestedBy == null) {
            retire();
        } else {
            giveUp();
        }
    }

    /** The log ended the own session. */
    void onOwnSessionEnded(Incarnation endedBy) {
        if (phase == Phase.CLOSING) {
            retire();
        } else if (phase == Phase.GIVING_UP) {
            retireWhenQuiesced();
        } else if (phase != Phase.RETIRING) {
            reason = "the session was ended by " + endedBy;
            onLeaseNotRenewable();
        }
    }

    /** Stops acting, and records the own end so that it need not be claimed. */
    private void retire() {
        context.report(ControlNotice.SESSION_ENDED, reason == null ? "stopped by " + requestedBy : reason);
        lease.relinquish();
        table.stop();
        if (phase != Phase.GIVING_UP) {
            recordOwnEnd();
        }
        enter(Phase.RETIRING);
        tickRetiring();
    }

    private void recordOwnEnd() {
        if (context.state().isOpen(context.self())) {
            appender.append(new LogRecord.SessionEnded(
                    context.self(), context.self(), context.state().appliedOffset()));
        }
    }

    /** Waits until the end is recorded and the holders that this companion witnesses have replaced it. */
    private void tickRetiring() {
        if (context.nowNs() < nextCheckNs) {
            return;
        }
        nextCheckNs = context.nowNs() + SessionTiming.RETRY_INTERVAL_NS;
        boolean recorded = !context.state().isOpen(context.self()) || elapsed(LOG_TIMEOUT_NS);
        // Without the log no holder can replace its witness, and this process cannot open a new session anyway.
        boolean awaitsLog = appender.isLogDown() && requestedBy == null;
        if (recorded && !awaitsLog && (!mayWitness() || !isNamedAsWitness())) {
            leave();
        }
    }

    /** Whether this companion may still ack. A process that waits to stop does not wait longer for its holders. */
    boolean mayWitness() {
        return requestedBy == null && appender.isLogDown() || !elapsed(WITNESS_TIME_NS);
    }

    private boolean isNamedAsWitness() {
        boolean[] named = {false};
        context.state()
                .forEachOpenSession(session -> named[0] |= session.witnesses().contains(context.self()));
        return named[0];
    }

    private void leave() {
        phase = Phase.OVER;
        if (requestedBy == null) {
            context.emit(new ControlAction.Retire(reason));
            return;
        }
        Invariant.GRACEFUL_STOP.check(
                table.openCount() == 0 || reason != null, table.openCount() + " slots are still open at the stop");
        context.emit(new ControlAction.Stopped());
    }

    void tick() {
        switch (phase) {
            case STOP_WHEN_OPENED:
                if (elapsed(LOG_TIMEOUT_NS)) {
                    leave();
                }
                break;
            case DRAINING:
                tickDraining();
                break;
            case QUIESCING:
                if (table.openCount() == 0) {
                    close();
                }
                break;
            case CLOSING:
                if (elapsed(LOG_TIMEOUT_NS)) {
                    giveUp();
                }
                break;
            case GIVING_UP:
                tickGivingUp();
                break;
            case RETIRING:
                tickRetiring();
                break;
            default:
                break;
        }
    }

    private void drain() {
        enter(Phase.DRAINING);
        appender.append(new LogRecord.DrainRequested(context.self(), requestedBy));
    }

    private void tickDraining() {
        boolean draining =
                context.state().session(context.self()).map(Session::draining).orElse(false);
        boolean moved = draining && table.openCount() == 0;
        boolean nobodyElse = draining && !hasSuccessor();
        if (moved || nobodyElse || elapsed(MOVE_TIMEOUT_NS)) {
            enter(Phase.QUIESCING);
            table.stop();
        }
    }

    private boolean hasSuccessor() {
        String service = context.ownSession().backendServer().service();
        for (Incarnation each : context.state().sessionsOf(service)) {
            if (!context.state().session(each).orElseThrow().draining()) {
                return true;
            }
        }
        return false;
    }

    private void close() {
        if (appender.isLogDown()) {
            giveUp();
            return;
        }
        enter(Phase.CLOSING);
        appender.append(new LogRecord.SessionClosed(context.self()));
    }

    private void giveUp() {
        enter(Phase.GIVING_UP);
        lease.relinquish();
        table.stop();
        recordOwnEnd();
        tickGivingUp();
    }

    private void tickGivingUp() {
        if (context.nowNs() >= nextGiveUpNs) {
            nextGiveUpNs = context.nowNs() + SessionTiming.RETRY_INTERVAL_NS;
            lease.announceRelinquished();
        }
        // Without witnesses only the log can end the session. A planned stop lets running requests finish.
        boolean told = elapsed(lease.witnesses().isEmpty() ? LOG_TIMEOUT_NS : GIVE_UP_NS);
        if (told) {
            retireWhenQuiesced();
        }
    }

    private void retireWhenQuiesced() {
        if (requestedBy == null || table.openCount() == 0 || elapsed(DRAIN_TIMEOUT_NS)) {
            retire();
        }
    }

    private void enter(Phase next) {
        phase = next;
        sinceNs = context.nowNs();
    }

    private boolean elapsed(long durationNs) {
        return context.nowNs() - sinceNs >= durationNs;
    }

    /** Progress of the end. */
    private enum Phase {
        NONE,
        STOP_WHEN_OPENED,
        DRAINING,
        QUIESCING,
        CLOSING,
        GIVING_UP,
        RETIRING,
        OVER
    }
}
