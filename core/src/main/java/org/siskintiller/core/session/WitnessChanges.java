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
 * Replaces witnesses that ended, left or fell silent, and fills up the set. Only one change is under way at a time. A
 * change whose fate is unknown is repeated with the same operation id until it is read back.
 */
public final class WitnessChanges {
    private static final long CHECK_INTERVAL_NS = 1_000 * SessionTiming.MS;
    private static final long SILENT_NS = 3_000 * SessionTiming.MS;
    private static final long PROBE_TIMEOUT_NS = 2_000 * SessionTiming.MS;
    private static final long AVOID_NS = 30_000 * SessionTiming.MS;
    /** Each replaced set that cannot settle is one more condition of the lease. */
    private static final int MAX_UNSETTLED_SETS = 3;

    private final ControlContext context;
    private final SessionLease lease;
    private final Appender appender;
    private final Map<Incarnation, Long> avoidedUntilNs = new HashMap<>();
    private List<Incarnation> target = List.of();
    private OperationId pending;
    private long probedSinceNs;
    private long nextCheckNs = Long.MIN_VALUE;

    public WitnessChanges(ControlContext context, SessionLease lease, Appender appender) {
        this.context = context;
        this.lease = lease;
        this.appender = appender;
    }

    public void tick() {
        if (pending != null && !appender.isPending(pending)) {
            // Its record lay before a snapshot and had no effect.
            lease.rejected();
            forgetPending();
        }
        if (!lease.holds(context.nowNs()) || pending != null) {
            return;
        }
        if (!target.isEmpty()) {
            continueProbe();
        } else if (context.nowNs() >= nextCheckNs) {
            nextCheckNs = context.nowNs() + CHECK_INTERVAL_NS;
            startProbe();
        }
    }

    /** An ack arrived, so that a probed set may be ready. */
    public void onAck() {
        if (pending == null && !target.isEmpty() && lease.holds(context.nowNs())) {
            continueProbe();
        }
    }

    /** A change of the own witnesses was read from the log. */
    public void onRead(OperationId id, LogRecord.WitnessesChanged change, boolean accepted) {
        if (accepted) {
            lease.accepted(change.witnesses(), context.state().appliedOffset());
            context.report(ControlNotice.WITNESSES_CHANGED, change.witnesses().size() + " witnesses");
        } else if (id.equals(pending)) {
            lease.rejected();
        }
        if (id.equals(pending)) {
            forgetPending();
        }
    }

    /** The state jumped to a snapshot with other own witnesses, so that the pending change is settled. */
    public void onStateReplaced(List<Incarnation> witnesses) {
        lease.accepted(witnesses, context.state().appliedOffset());
        forgetPending();
    }

    private void forgetPending() {
        pending = null;
        target = List.of();
    }

    private void startProbe() {
        if (appender.isLogDown() || lease.unsettledSets() >= MAX_UNSETTLED_SETS) {
            return;
        }
        List<Incarnation> chosen = WitnessChoice.choose(context.state(), context.self(), working(), avoided());
        if (chosen.isEmpty() || new HashSet<>(chosen).equals(new HashSet<>(lease.witnesses()))) {
            return;
        }
        target = chosen;
        probedSinceNs = context.nowNs();
        lease.probe(chosen);
    }

    private void continueProbe() {
        boolean allStillOpen = target.stream().allMatch(each -> context.state().isOpen(each));
        if (allStillOpen && allHeard() && lease.isReady(target)) {
            Session session = context.state().session(context.self()).orElseThrow();
            lease.propose(target);
            pending = appender.append(new LogRecord.WitnessesChanged(context.self(), session.witnessVersion(), target));
        } else if (!allStillOpen || context.nowNs() - probedSinceNs > PROBE_TIMEOUT_NS) {
            avoidSilent();
            target = List.of();
            lease.probe(List.of());
        }
    }

    /** A set with a silent member would be replaced again at once. */
    private boolean allHeard() {
        long probedNs = context.nowNs() - probedSinceNs;
        return target.stream().allMatch(each -> !lease.hasEnded(each) && lease.sinceLastAckNs(each) < probedNs);
    }

    private void avoidSilent() {
        for (Incarnation each : target) {
            if (lease.hasEnded(each) || lease.sinceLastAckNs(each) > PROBE_TIMEOUT_NS / 2) {
                avoidedUntilNs.put(each, context.nowNs() + AVOID_NS);
            }
        }
    }

    private List<Incarnation> working() {
        List<Incarnation> working = new ArrayList<>();
        for (Incarnation each : lease.witnesses()) {
            if (context.state().isOpen(each) && !lease.hasEnded(each) && lease.sinceLastAckNs(each) <= SILENT_NS) {
                working.add(each);
            }
        }
        return working;
    }

    private Set<Incarnation> avoided() {
        avoidedUntilNs.values().removeIf(until -> until <= context.nowNs());
        Set<Incarnation> avoided = new HashSet<>(avoidedUntilNs.keySet());
        for (Incarnation each : lease.witnesses()) {
            if (lease.hasEnded(each) || lease.sinceLastAckNs(each) > SILENT_NS) {
                avoided.add(each);
            }
        }
        return avoided;
    }
}
