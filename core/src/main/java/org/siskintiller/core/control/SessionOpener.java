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
 * Opens the own session once the log was read to its tail and the backend server serves. Only sessions that answer a
 * heartbeat become witnesses: an open session in the log may long be lost, and with such witnesses no lease runs. The
 * first session has none, and so has one that nobody answers.
 */
final class SessionOpener {
    private static final long PROBE_NS = 600 * SessionTiming.MS;
    private static final int MAX_PROBES = 3;
    /**
     * A companion that nobody answers for this long opens its session without witnesses: after the loss of all
     * companions, none of the open sessions in the log answers.
     */
    private static final long ALONE_NS = 3_000 * SessionTiming.MS;
    /** An earlier session at the own address is ended by the opening of the own one, so its lease must be over. */
    private static final long ADDRESS_BOUND_NS = SessionTiming.WITNESS_LEASE_NS;

    private final ControlContext context;
    private final Appender appender;
    private final SessionLease lease;
    private final Set<Incarnation> silent = new HashSet<>();
    private final Set<Incarnation> heard = new HashSet<>();
    private List<Incarnation> probed;
    private long createdNs = Long.MIN_VALUE;
    private long firstProbeNs;
    private long probedSinceNs;
    private int probes;
    private boolean tailSeen;
    private boolean serving;
    private boolean cancelled;
    private OperationId pending;

    SessionOpener(ControlContext context, Appender appender, SessionLease lease) {
        this.context = context;
        this.appender = appender;
        this.lease = lease;
    }

    void onTail() {
        tailSeen = true;
        proceed();
    }

    void onBackendServer(boolean nowServing) {
        serving = nowServing;
        proceed();
    }

    /** The own record was read but had no effect: a chosen witness has ended meanwhile. */
    void onVoid(OperationId id) {
        if (id.equals(pending)) {
            startOver();
        }
    }

    /** The state jumped to a snapshot. An own record in it that opened no session was void. */
    void onStateReplaced() {
        if (pending != null && !appender.isPending(pending) && !context.state().isOpen(context.self())) {
            startOver();
        }
    }

    /** No session is opened from now on. Returns whether one may still open by an append under way. */
    boolean cancel() {
        cancelled = true;
        return pending != null;
    }

    boolean isServing() {
        return serving;
    }

    /** Time has passed or a witness has answered. */
    void proceed() {
        if (createdNs == Long.MIN_VALUE) {
            createdNs = context.nowNs();
        }
        if (!tailSeen || !serving || cancelled || pending != null || lease.isOpen()) {
            return;
        }
        if (!earlierAtOwnAddress().isEmpty() && context.nowNs() - createdNs < ADDRESS_BOUND_NS) {
            return;
        }
        if (probed == null) {
            firstProbeNs = context.nowNs();
            probe();
        }
        List<Incarnation> answered = new ArrayList<>(probed);
        answered.removeIf(each -> lease.sinceLastAckNs(each) >= context.nowNs() - probedSinceNs);
        if (answered.size() == probed.size()) {
            open(probed);
        } else if (context.nowNs() - probedSinceNs >= PROBE_NS) {
            heard.addAll(answered);
            probed.stream().filter(each -> !answered.contains(each)).forEach(silent::add);
            if (heard.isEmpty() && context.nowNs() - firstProbeNs >= ALONE_NS) {
                open(List.of());
            } else if (probes < MAX_PROBES || heard.isEmpty()) {
                probe();
            } else {
                open(WitnessChoice.choose(context.state(), context.self(), List.copyOf(heard), unheard()));
            }
        }
    }

    private void probe() {
        probes++;
        probedSinceNs = context.nowNs();
        heard.removeIf(each -> !context.state().isOpen(each));
        Set<Incarnation> earlier = earlierAtOwnAddress();
        heard.removeAll(earlier);
        silent.addAll(earlier);
        probed = WitnessChoice.choose(context.state(), context.self(), List.copyOf(heard), silent);
        if (probed.isEmpty() && context.state().openSessionCount() > earlier.size()) {
            // No session answered. All are asked again, since some may have been unreachable for a moment.
            silent.retainAll(earlier);
            probed = WitnessChoice.choose(context.state(), context.self(), List.of(), silent);
        }
        lease.probe(probed);
    }

    private Set<Incarnation> earlierAtOwnAddress() {
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

    private Set<Incarnation> unheard() {
        Set<Incarnation> unheard = new HashSet<>();
        context.state().forEachOpenSession(session -> {
            if (!heard.contains(session.incarnation())) {
                unheard.add(session.incarnation());
            }
        });
        return unheard;
    }

    private void open(List<Incarnation> witnesses) {
        lease.probe(List.of());
        pending =
                appender.append(new LogRecord.SessionOpened(context.ownSession().withWitnesses(witnesses, 0)));
    }

    private void startOver() {
        pending = null;
        probed = null;
        probes = 0;
        proceed();
    }
}
