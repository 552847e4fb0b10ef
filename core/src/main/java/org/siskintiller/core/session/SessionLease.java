package org.siskintiller.core.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.control.ControlNotice;
import org.siskintiller.core.invariant.Invariant;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;

/**
 * Lease of the own session. It runs while a renewal quorum of every required witness set acks heartbeats. While a
 * change of witnesses is under way, both the old and the new set are required.
 */
public final class SessionLease {
    private static final long LOST = Long.MIN_VALUE;

    private final ControlContext context;
    private final Heartbeats heartbeats;
    private final WitnessAcks acks = new WitnessAcks();
    private final List<WitnessSet> required = new ArrayList<>();
    private List<Incarnation> probed = List.of();
    private boolean open;
    private boolean relinquished;
    private boolean held;
    private long expiryNs = LOST;
    private long withoutSinceNs;
    private long lastHeartbeatNs = LOST;
    private boolean recordsInLog;
    private boolean recordsConfirmed;

    public SessionLease(ControlContext context) {
        this.context = context;
        this.heartbeats = new Heartbeats(context);
    }

    /** The log accepted the own session with these witnesses. */
    public void onOpened(List<Incarnation> witnesses) {
        open = true;
        withoutSinceNs = context.nowNs();
        required.add(new WitnessSet(witnesses, Phase.IN_FORCE, 0));
        heartbeatNow();
    }

    public boolean isOpen() {
        return open;
    }

    public boolean holds(long nowNs) {
        return open && !relinquished && nowNs < expiryNs;
    }

    /** Witnesses in force by the log. */
    public List<Incarnation> witnesses() {
        for (WitnessSet set : required) {
            if (set.phase == Phase.IN_FORCE) {
                return set.members;
            }
        }
        return List.of();
    }

    /** Number of replaced witness sets that the lease still depends on. */
    public int unsettledSets() {
        int count = 0;
        for (WitnessSet set : required) {
            if (set.phase == Phase.REPLACED) {
                count++;
            }
        }
        return count;
    }

    /** Sends heartbeats to a set that may be proposed, also before the own session is open. */
    public void probe(List<Incarnation> witnesses) {
        probed = List.copyOf(witnesses);
        heartbeatNow();
    }

    /** Whether a probed set can be required without shortening the lease. */
    public boolean isReady(List<Incarnation> witnesses) {
        long renewedNs = acks.renewedNs(witnesses, recordsInLog);
        return renewedNs != LOST && renewedNs + SessionTiming.HOLDER_LEASE_NS >= expiryNs;
    }

    /** Requires a set, directly before the change to it is appended. */
    public void propose(List<Incarnation> witnesses) {
        required.add(new WitnessSet(witnesses, Phase.PROPOSED, 0));
        probed = List.of();
    }

    /** The log accepted the change to the proposed set at this offset. */
    public void accepted(List<Incarnation> witnesses, long offset) {
        required.removeIf(set -> set.phase == Phase.PROPOSED);
        List<WitnessSet> replaced = new ArrayList<>();
        for (WitnessSet set : required) {
            if (set.phase == Phase.REPLACED) {
                replaced.add(set);
            } else if (!set.members.isEmpty()) {
                replaced.add(new WitnessSet(set.members, Phase.REPLACED, offset));
            }
        }
        required.clear();
        required.addAll(replaced);
        required.add(new WitnessSet(witnesses, Phase.IN_FORCE, 0));
        heartbeatNow();
    }

    /** The proposed change is void for good. */
    public void rejected() {
        required.removeIf(set -> set.phase == Phase.PROPOSED);
    }

    public boolean hasEnded(Incarnation witness) {
        return acks.hasEnded(witness);
    }

    public long sinceLastAckNs(Incarnation witness) {
        return acks.sinceLastAckNs(witness, context.nowNs());
    }

    /** Whether witnesses that intersect every end quorum have marked the offset. */
    public boolean isMarked(long offset) {
        for (WitnessSet set : required) {
            int size = set.members.size();
            if (size > 0 && acks.markedOffset(set.members, SessionTiming.renewalQuorum(size)) < offset) {
                return false;
            }
        }
        return true;
    }

    /** Makes the witnesses know that request records may be in the log. */
    public void announceRecordsInLog() {
        if (recordsConfirmed) {
            context.emit(new ControlAction.RecordsInLogConfirmed());
            return;
        }
        recordsInLog = true;
        if (open) {
            heartbeatNow();
        }
    }

    /** Time since which the lease is not held, which is now while it is. */
    public long lostSinceNs() {
        if (relinquished) {
            return withoutSinceNs;
        }
        return holds(context.nowNs()) ? context.nowNs() : Math.max(withoutSinceNs, expiryNs);
    }

    /** Whether the incarnation can no longer serve, so that a new one must be started. */
    public boolean cannotRenew() {
        if (!open || relinquished) {
            return false;
        }
        for (WitnessSet set : required) {
            if (acks.canNeverRenew(set.members)) {
                return true;
            }
        }
        if (holds(context.nowNs())) {
            return false;
        }
        return context.nowNs() - lostSinceNs() > SessionTiming.RETIREMENT_NS || hasLostItsWitnesses();
    }

    /** Whether the log has ended so many witnesses that those left cannot renew the lease. */
    private boolean hasLostItsWitnesses() {
        for (WitnessSet set : required) {
            int left = 0;
            for (Incarnation witness : set.members) {
                if (context.state().isOpen(witness) && !acks.hasEnded(witness)) {
                    left++;
                }
            }
            if (left < SessionTiming.renewalQuorum(set.members.size())) {
                return true;
            }
        }
        return false;
    }

    public void onAck(PeerMessage.HeartbeatAck ack) {
        Heartbeats.Sent heartbeat = heartbeats.find(ack.sequence());
        if (!ack.holder().equals(context.self()) || heartbeat == null) {
            return;
        }
        if (ack.ended()) {
            acks.ended(ack.witness(), context.nowNs());
            return;
        }
        acks.acked(ack.witness(), heartbeat, context.nowNs());
        renew();
    }

    public void tick() {
        if (relinquished) {
            return;
        }
        noticeLoss();
        if (lastHeartbeatNs == LOST || context.nowNs() - lastHeartbeatNs >= SessionTiming.HEARTBEAT_INTERVAL_NS) {
            heartbeatNow();
        }
    }

    public void heartbeatNow() {
        if (relinquished || !open && probed.isEmpty()) {
            return;
        }
        lastHeartbeatNs = context.nowNs();
        Collection<Incarnation> targets = targets();
        targets.forEach(witness -> acks.asked(witness, context.nowNs()));
        heartbeats.send(targets, recordsInLog);
        renew();
    }

    /** Gives up the lease for good. */
    public void relinquish() {
        if (!relinquished) {
            withoutSinceNs = lostSinceNs();
            relinquished = true;
            expiryNs = LOST;
            context.emit(new ControlAction.LeaseExtended(LOST));
        }
    }

    /** Tells the witnesses that the lease was given up, so that a standby can take over at once. */
    public void announceRelinquished() {
        Invariant.SOLE_OWNER.check(relinquished, "the lease is still held");
        for (Incarnation witness : targets()) {
            context.send(
                    witness,
                    new PeerMessage.EndClaim(
                            context.self(), context.self(), context.state().appliedOffset()));
        }
    }

    private void renew() {
        if (!open || relinquished) {
            return;
        }
        required.removeIf(set -> set.phase == Phase.REPLACED
                && acks.markedOffset(set.members, SessionTiming.endQuorum(set.members.size())) >= set.replacedOffset);
        long renewedNs = Long.MAX_VALUE;
        for (WitnessSet set : required) {
            renewedNs = Math.min(renewedNs, renewedNs(set.members, false));
        }
        long newExpiryNs = renewedNs == LOST ? LOST : renewedNs + SessionTiming.HOLDER_LEASE_NS;
        if (newExpiryNs > expiryNs && newExpiryNs > context.nowNs()) {
            expiryNs = newExpiryNs;
            context.emit(new ControlAction.LeaseExtended(expiryNs));
            if (!held) {
                held = true;
                context.report(ControlNotice.LEASE_ACQUIRED, context.self().toString());
            }
        }
        confirmRecordsInLog();
    }

    private long renewedNs(List<Incarnation> witnesses, boolean flagged) {
        // Nobody can end a session without witnesses, so it renews its lease by itself.
        return witnesses.isEmpty() ? lastHeartbeatNs : acks.renewedNs(witnesses, flagged);
    }

    private void confirmRecordsInLog() {
        if (!recordsInLog || recordsConfirmed) {
            return;
        }
        for (WitnessSet set : required) {
            if (renewedNs(set.members, true) == LOST) {
                return;
            }
        }
        recordsConfirmed = true;
        context.emit(new ControlAction.RecordsInLogConfirmed());
    }

    private void noticeLoss() {
        if (held && context.nowNs() >= expiryNs) {
            held = false;
            withoutSinceNs = expiryNs;
            context.emit(new ControlAction.LeaseExtended(LOST));
            context.report(ControlNotice.LEASE_LOST, context.self().toString());
        }
    }

    private Collection<Incarnation> targets() {
        Set<Incarnation> targets = new LinkedHashSet<>();
        required.forEach(set -> targets.addAll(set.members));
        targets.addAll(probed);
        return targets;
    }

    /** How far the log has settled a witness set. */
    private enum Phase {
        PROPOSED,
        IN_FORCE,
        REPLACED
    }

    /** Witness set that the lease depends on. A replaced one is settled once an end quorum of it marks the offset. */
    private static final class WitnessSet {
        private final List<Incarnation> members;
        private final Phase phase;
        private final long replacedOffset;

        WitnessSet(List<Incarnation> members, Phase phase, long replacedOffset) {
            this.members = members;
            this.phase = phase;
            this.replacedOffset = replacedOffset;
        }
    }
}
