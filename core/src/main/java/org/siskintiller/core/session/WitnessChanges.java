package org.siskintiller.core.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.control.Appender;
import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.control.ControlNotice;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.Session;

/**
 * Replaces witnesses that ended, stopped or no longer respond, and fills up the set. Only one change is in progress at
 * a time. A change with an unknown outcome is appended again with the same operation id until it is read back.
 */
public final class WitnessChanges {
    private static final long CHECK_INTERVAL_NS = 1_000 * SessionTiming.MS;
    private static final long RESPONSE_TIMEOUT_NS = 3_000 * SessionTiming.MS;
    private static final long PROBE_TIMEOUT_NS = 2_000 * SessionTiming.MS;
    private static final long AVOIDANCE_NS = 30_000 * SessionTiming.MS;
    /** The lease requires acks from each replaced set until it is settled. */
    private static final int MAX_UNSETTLED_SETS = 3;

    private final ControlContext context;
    private final SessionLease lease;
    private final Appender appender;
    private final Map<Incarnation, Long> avoidedUntilNs = new HashMap<>();
    private List<Incarnation> probedWitnesses = List.of();
    private OperationId pendingId;
    private long probeStartNs;
    private long nextCheckNs = Long.MIN_VALUE;

    public WitnessChanges(ControlContext context, SessionLease lease, Appender appender) {
        this.context = context;
        this.lease = lease;
        this.appender = appender;
    }

    public void tick() {
        if (pendingId != null && !appender.isPending(pendingId)) {
            // The record of the change precedes a snapshot and had no effect.
            lease.onWitnessesRejected();
            clearPending();
        }
        if (!lease.holds(context.nowNs()) || pendingId != null) {
            return;
        }
        if (!probedWitnesses.isEmpty()) {
            continueProbe();
        } else if (context.nowNs() >= nextCheckNs) {
            nextCheckNs = context.nowNs() + CHECK_INTERVAL_NS;
            startProbe();
        }
    }

    /** An ack arrived, so that a probed set may be ready. */
    public void onAck() {
        if (pendingId == null && !probedWitnesses.isEmpty() && lease.holds(context.nowNs())) {
            continueProbe();
        }
    }

    /** A change of this companion's witnesses was read from the log. */
    public void onRead(OperationId id, LogRecord.WitnessesChanged change, boolean accepted) {
        if (accepted) {
            lease.onWitnessesAccepted(change.witnesses(), context.state().appliedOffset());
            context.report(ControlNotice.WITNESSES_CHANGED, change.witnesses().size() + " witnesses");
        } else if (id.equals(pendingId)) {
            lease.onWitnessesRejected();
        }
        if (id.equals(pendingId)) {
            clearPending();
        }
    }

    /** The state was replaced by a snapshot with other witnesses of this companion, which settles a pending change. */
    public void onStateReplaced(List<Incarnation> witnesses) {
        lease.onWitnessesAccepted(witnesses, context.state().appliedOffset());
        clearPending();
    }

    private void clearPending() {
        pendingId = null;
        probedWitnesses = List.of();
    }

    private void startProbe() {
        if (appender.isLogDown() || lease.unsettledSets() >= MAX_UNSETTLED_SETS) {
            return;
        }
        List<Incarnation> chosen = WitnessChoice.choose(context.state(), context.self(), responsive(), avoided());
        if (chosen.isEmpty() || new HashSet<>(chosen).equals(new HashSet<>(lease.witnesses()))) {
            return;
        }
        probedWitnesses = chosen;
        probeStartNs = context.nowNs();
        lease.probe(chosen);
    }

    private void continueProbe() {
        boolean allStillOpen =
                probedWitnesses.stream().allMatch(witness -> context.state().isOpen(witness));
        if (allStillOpen && allResponded() && lease.isReady(probedWitnesses)) {
            Session session = context.state().session(context.self()).orElseThrow();
            lease.propose(probedWitnesses);
            pendingId = appender.append(
                    new LogRecord.WitnessesChanged(context.self(), session.witnessVersion(), probedWitnesses));
        } else if (!allStillOpen || context.nowNs() - probeStartNs > PROBE_TIMEOUT_NS) {
            avoidUnresponsive();
            probedWitnesses = List.of();
            lease.probe(List.of());
        }
    }

    /** Whether the whole probed set responded. A set with an unresponsive member would be replaced again at once. */
    private boolean allResponded() {
        long probeDurationNs = context.nowNs() - probeStartNs;
        return probedWitnesses.stream()
                .allMatch(witness -> !lease.hasEnded(witness) && lease.sinceLastAckNs(witness) < probeDurationNs);
    }

    private void avoidUnresponsive() {
        for (Incarnation witness : probedWitnesses) {
            if (lease.hasEnded(witness) || lease.sinceLastAckNs(witness) > PROBE_TIMEOUT_NS / 2) {
                avoidedUntilNs.put(witness, context.nowNs() + AVOIDANCE_NS);
            }
        }
    }

    private List<Incarnation> responsive() {
        List<Incarnation> responsive = new ArrayList<>();
        for (Incarnation witness : lease.witnesses()) {
            if (context.state().isOpen(witness)
                    && !lease.hasEnded(witness)
                    && lease.sinceLastAckNs(witness) <= RESPONSE_TIMEOUT_NS) {
                responsive.add(witness);
            }
        }
        return responsive;
    }

    private Set<Incarnation> avoided() {
        avoidedUntilNs.values().removeIf(untilNs -> untilNs <= context.nowNs());
        Set<Incarnation> avoided = new HashSet<>(avoidedUntilNs.keySet());
        for (Incarnation witness : lease.witnesses()) {
            if (lease.hasEnded(witness) || lease.sinceLastAckNs(witness) > RESPONSE_TIMEOUT_NS) {
                avoided.add(witness);
            }
        }
        return avoided;
    }
}
