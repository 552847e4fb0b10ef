package org.siskintiller.core.control;

import org.siskintiller.core.invariant.Invariant;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.ownership.OwnershipTable;
import org.siskintiller.core.session.SessionLease;
import org.siskintiller.core.session.SessionTiming;

/** Ends this incarnation after a stop request, the loss of the backend server or the loss of the lease. */
final class Shutdown {
    /** The log is assumed to be down when it has not stored a record for this long. */
    private static final long LOG_TIMEOUT_NS = 3_000 * SessionTiming.MS;
    /**
     * Slots that have not moved to a new owner by then are closed here, and their standbys take over. This leaves a
     * margin below the 3 s after which a leaving backend server gets no new requests.
     */
    private static final long MOVE_TIMEOUT_NS = 2_000 * SessionTiming.MS;
    /** Maximum time that a stop waits for running requests. */
    private static final long DRAIN_TIMEOUT_NS = 20_000 * SessionTiming.MS;
    /** The relinquished lease is announced repeatedly for this long, since datagrams may be lost. */
    private static final long RELINQUISH_ANNOUNCEMENT_NS = 300 * SessionTiming.MS;
    /** Lease holders replace a witness within about two seconds after they read its end. */
    private static final long WITNESS_REPLACEMENT_TIMEOUT_NS = 5_000 * SessionTiming.MS;

    private final ControlContext context;
    private final Appender appender;
    private final SessionOpener opener;
    private final SessionLease lease;
    private final OwnershipTable table;
    private Phase phase = Phase.NONE;
    private String requestedBy;
    private String reason;
    private long phaseStartedNs;
    private long nextAnnouncementNs;
    private long nextCheckNs = Long.MIN_VALUE;

    Shutdown(
            ControlContext context, Appender appender, SessionOpener opener, SessionLease lease, OwnershipTable table) {
        this.context = context;
        this.appender = appender;
        this.opener = opener;
        this.lease = lease;
        this.table = table;
    }

    /** Whether the incarnation no longer serves and only waits until its end is recorded. */
    boolean isRetiring() {
        return phase == Phase.RETIRING;
    }

    boolean isFinished() {
        return phase == Phase.OVER;
    }

    void requestStop(String newRequestedBy) {
        if (phase != Phase.NONE) {
            // An incarnation that is already ending stops the process when it finishes, instead of retiring.
            requestedBy = requestedBy == null ? newRequestedBy : requestedBy;
            return;
        }
        requestedBy = newRequestedBy;
        if (lease.isOpen()) {
            drain();
        } else if (opener.cancel()) {
            enter(Phase.STOP_WHEN_OPENED);
        } else {
            finish();
        }
    }

    /** The record that opened this companion's session was read from the log. */
    void onOpened() {
        if (phase == Phase.STOP_WHEN_OPENED) {
            drain();
        } else if (!opener.isServing()) {
            onBackendServerLost();
        }
    }

    /** Relinquishes the lease immediately so that the standbys take over: no request can be served here. */
    void onBackendServerLost() {
        if (!lease.isOpen() || phase == Phase.GIVING_UP || phase == Phase.RETIRING || phase == Phase.OVER) {
            return;
        }
        reason = "the backend server was lost";
        relinquish();
    }

    /** The lease cannot be renewed any more. */
    void onLeaseNotRenewable() {
        if (reason == null) {
            reason = "the lease was lost and its witnesses cannot renew it";
        }
        if (requestedBy == null) {
            retire();
        } else {
            relinquish();
        }
    }

    /** A record that ended this companion's session was read from the log. */
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

    /** Stops serving and records the end of this session, so that no other companion has to claim it. */
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

    /** Waits until the end is recorded and the lease holders have replaced this companion as their witness. */
    private void tickRetiring() {
        if (context.nowNs() < nextCheckNs) {
            return;
        }
        nextCheckNs = context.nowNs() + SessionTiming.RETRY_INTERVAL_NS;
        boolean endRecorded = !context.state().isOpen(context.self()) || elapsed(LOG_TIMEOUT_NS);
        // Without the log, no holder can replace its witness and this process cannot open a new session.
        boolean waitsForLog = appender.isLogDown() && requestedBy == null;
        if (endRecorded && !waitsForLog && (!mayWitness() || !isWitness())) {
            finish();
        }
    }

    /**
     * Whether this companion may still ack heartbeats as a witness. A requested stop limits the time for that, even
     * while the log is down.
     */
    boolean mayWitness() {
        return requestedBy == null && appender.isLogDown() || !elapsed(WITNESS_REPLACEMENT_TIMEOUT_NS);
    }

    private boolean isWitness() {
        boolean[] found = {false};
        context.state()
                .forEachOpenSession(session -> found[0] |= session.witnesses().contains(context.self()));
        return found[0];
    }

    private void finish() {
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
                    finish();
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
                    relinquish();
                }
                break;
            case GIVING_UP:
                tickRelinquishing();
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
        boolean slotsMoved = draining && table.openCount() == 0;
        boolean noSuccessor = draining && !hasSuccessor();
        if (slotsMoved || noSuccessor || elapsed(MOVE_TIMEOUT_NS)) {
            enter(Phase.QUIESCING);
            table.stop();
        }
    }

    private boolean hasSuccessor() {
        String service = context.ownSession().backendServer().service();
        for (Incarnation candidate : context.state().sessionsOf(service)) {
            if (!context.state().session(candidate).orElseThrow().draining()) {
                return true;
            }
        }
        return false;
    }

    private void close() {
        if (appender.isLogDown()) {
            relinquish();
            return;
        }
        enter(Phase.CLOSING);
        appender.append(new LogRecord.SessionClosed(context.self()));
    }

    private void relinquish() {
        enter(Phase.GIVING_UP);
        lease.relinquish();
        table.stop();
        recordOwnEnd();
        tickRelinquishing();
    }

    private void tickRelinquishing() {
        if (context.nowNs() >= nextAnnouncementNs) {
            nextAnnouncementNs = context.nowNs() + SessionTiming.RETRY_INTERVAL_NS;
            lease.announceRelinquished();
        }
        // Without witnesses, only the log can end the session. A planned stop waits for running requests to complete.
        boolean announced = elapsed(lease.witnesses().isEmpty() ? LOG_TIMEOUT_NS : RELINQUISH_ANNOUNCEMENT_NS);
        if (announced) {
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
        phaseStartedNs = context.nowNs();
    }

    private boolean elapsed(long durationNs) {
        return context.nowNs() - phaseStartedNs >= durationNs;
    }

    /** Phase of the shutdown. */
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
