package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.session.SessionLease;
import org.siskintiller.core.session.SessionTiming;
import org.siskintiller.core.session.WitnessChoice;

/**
 * Opens this companion's session once the log has been read to its tail and the backend server is serving. Only
 * sessions that respond to a heartbeat become witnesses: a session that is open in the log may have been lost long ago,
 * and a lease cannot be acquired from such witnesses. The first session has no witnesses, nor has one whose heartbeats
 * get no response.
 */
final class SessionOpener {
    private static final long PROBE_TIMEOUT_NS = 600 * SessionTiming.MS;
    private static final int MAX_PROBES = 3;
    /**
     * A companion that gets no response for this long opens its session without witnesses: after the loss of all
     * companions, none of the open sessions in the log responds.
     */
    private static final long NO_WITNESS_TIMEOUT_NS = 3_000 * SessionTiming.MS;
    /** Opening this companion's session ends an earlier one at the same address, whose lease must have expired. */
    private static final long EARLIER_LEASE_NS = SessionTiming.WITNESS_LEASE_NS;

    private final ControlContext context;
    private final Appender appender;
    private final SessionLease lease;
    private final Set<Incarnation> unresponsive = new HashSet<>();
    private final Set<Incarnation> responsive = new HashSet<>();
    private List<Incarnation> probedWitnesses;
    private long createdNs = Long.MIN_VALUE;
    private long firstProbeStartedNs;
    private long probeStartedNs;
    private int probeCount;
    private boolean tailReached;
    private boolean serving;
    private boolean cancelled;
    private OperationId pendingAppend;

    SessionOpener(ControlContext context, Appender appender, SessionLease lease) {
        this.context = context;
        this.appender = appender;
        this.lease = lease;
    }

    void onTail() {
        tailReached = true;
        proceed();
    }

    void onBackendServer(boolean nowServing) {
        serving = nowServing;
        proceed();
    }

    /** This companion's record was read but had no effect because a chosen witness has ended in the meantime. */
    void onVoid(OperationId id) {
        if (id.equals(pendingAppend)) {
            restart();
        }
    }

    /** The state was replaced by a snapshot. If it includes the pending append but not the session, that was void. */
    void onStateReplaced() {
        if (pendingAppend != null
                && !appender.isPending(pendingAppend)
                && !context.state().isOpen(context.self())) {
            restart();
        }
    }

    /** Prevents the session from being opened. Returns whether a pending append may still open it. */
    boolean cancel() {
        cancelled = true;
        return pendingAppend != null;
    }

    boolean isServing() {
        return serving;
    }

    /** Opens the session or starts the next probe, if the conditions are met. Called on ticks and on acks. */
    void proceed() {
        if (createdNs == Long.MIN_VALUE) {
            createdNs = context.nowNs();
        }
        if (!tailReached || !serving || cancelled || pendingAppend != null || lease.isOpen()) {
            return;
        }
        if (!earlierAtSameAddress().isEmpty() && context.nowNs() - createdNs < EARLIER_LEASE_NS) {
            return;
        }
        if (probedWitnesses == null) {
            firstProbeStartedNs = context.nowNs();
            probe();
        }
        List<Incarnation> responded = new ArrayList<>(probedWitnesses);
        responded.removeIf(witness -> lease.sinceLastAckNs(witness) >= context.nowNs() - probeStartedNs);
        if (responded.size() == probedWitnesses.size()) {
            open(probedWitnesses);
        } else if (context.nowNs() - probeStartedNs >= PROBE_TIMEOUT_NS) {
            responsive.addAll(responded);
            probedWitnesses.stream()
                    .filter(witness -> !responded.contains(witness))
                    .forEach(unresponsive::add);
            if (responsive.isEmpty() && context.nowNs() - firstProbeStartedNs >= NO_WITNESS_TIMEOUT_NS) {
                open(List.of());
            } else if (probeCount < MAX_PROBES || responsive.isEmpty()) {
                probe();
            } else {
                open(WitnessChoice.choose(context.state(), context.self(), List.copyOf(responsive), notResponsive()));
            }
        }
    }

    private void probe() {
        probeCount++;
        probeStartedNs = context.nowNs();
        responsive.removeIf(session -> !context.state().isOpen(session));
        Set<Incarnation> earlier = earlierAtSameAddress();
        responsive.removeAll(earlier);
        unresponsive.addAll(earlier);
        probedWitnesses = WitnessChoice.choose(context.state(), context.self(), List.copyOf(responsive), unresponsive);
        if (probedWitnesses.isEmpty() && context.state().openSessionCount() > earlier.size()) {
            // No session responded. Probe all again, since some may have been unreachable only briefly.
            unresponsive.retainAll(earlier);
            probedWitnesses = WitnessChoice.choose(context.state(), context.self(), List.of(), unresponsive);
        }
        lease.probe(probedWitnesses);
    }

    private Set<Incarnation> earlierAtSameAddress() {
        Set<Incarnation> earlier = new HashSet<>();
        context.state().forEachOpenSession(session -> {
            boolean sameAddress =
                    session.peerAddress().equals(context.ownSession().peerAddress());
            if (sameAddress && !session.incarnation().equals(context.self())) {
                earlier.add(session.incarnation());
            }
        });
        return earlier;
    }

    private Set<Incarnation> notResponsive() {
        Set<Incarnation> notResponsive = new HashSet<>();
        context.state().forEachOpenSession(session -> {
            if (!responsive.contains(session.incarnation())) {
                notResponsive.add(session.incarnation());
            }
        });
        return notResponsive;
    }

    private void open(List<Incarnation> witnesses) {
        lease.probe(List.of());
        pendingAppend =
                appender.append(new LogRecord.SessionOpened(context.ownSession().withWitnesses(witnesses, 0)));
    }

    private void restart() {
        pendingAppend = null;
        probedWitnesses = null;
        probeCount = 0;
        proceed();
    }
}
