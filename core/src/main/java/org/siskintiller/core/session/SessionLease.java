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
 * Lease of this companion's session. It is held while a renewal quorum of every required witness set acks heartbeats.
 * During a change of witnesses, both the old and the new set are required.
 */
public final class SessionLease {
    private static final long NEVER = Long.MIN_VALUE;

    private final ControlContext context;
    private final Heartbeats heartbeats;
    private final WitnessAcks acks = new WitnessAcks();
    private final List<WitnessSet> requiredSets = new ArrayList<>();
    private List<Incarnation> probedWitnesses = List.of();
    private boolean open;
    private boolean relinquished;
    private boolean held;
    private long expiryNs = NEVER;
    private long notHeldSinceNs;
    private long lastHeartbeatNs = NEVER;
    private boolean recordsInLog;
    private boolean recordsInLogConfirmed;

    public SessionLease(ControlContext context) {
        this.context = context;
        this.heartbeats = new Heartbeats(context);
    }

    /** The log accepted this companion's session with these witnesses. */
    public void onOpened(List<Incarnation> witnesses) {
        open = true;
        notHeldSinceNs = context.nowNs();
        requiredSets.add(new WitnessSet(witnesses, Phase.IN_FORCE, 0));
        heartbeatNow();
    }

    public boolean isOpen() {
        return open;
    }

    public boolean holds(long nowNs) {
        return open && !relinquished && nowNs < expiryNs;
    }

    /** Returns the witnesses in force according to the log. */
    public List<Incarnation> witnesses() {
        for (WitnessSet set : requiredSets) {
            if (set.phase == Phase.IN_FORCE) {
                return set.members;
            }
        }
        return List.of();
    }

    /** Number of replaced witness sets that the lease still depends on. */
    public int unsettledSets() {
        int count = 0;
        for (WitnessSet set : requiredSets) {
            if (set.phase == Phase.REPLACED) {
                count++;
            }
        }
        return count;
    }

    /** Sends heartbeats to a set that may be proposed, even before this companion's session is open. */
    public void probe(List<Incarnation> witnesses) {
        probedWitnesses = List.copyOf(witnesses);
        heartbeatNow();
    }

    /** Whether requiring a probed set would not shorten the lease. */
    public boolean isReady(List<Incarnation> witnesses) {
        long renewedNs = acks.renewedNs(witnesses, recordsInLog);
        return renewedNs != NEVER && renewedNs + SessionTiming.HOLDER_LEASE_NS >= expiryNs;
    }

    /** Requires a set. Must be called immediately before the change to it is appended. */
    public void propose(List<Incarnation> witnesses) {
        requiredSets.add(new WitnessSet(witnesses, Phase.PROPOSED, 0));
        probedWitnesses = List.of();
    }

    /** The log accepted the change to the proposed set at this offset. */
    public void onWitnessesAccepted(List<Incarnation> witnesses, long offset) {
        requiredSets.removeIf(set -> set.phase == Phase.PROPOSED);
        List<WitnessSet> replaced = new ArrayList<>();
        for (WitnessSet set : requiredSets) {
            if (set.phase == Phase.REPLACED) {
                replaced.add(set);
            } else if (!set.members.isEmpty()) {
                replaced.add(new WitnessSet(set.members, Phase.REPLACED, offset));
            }
        }
        requiredSets.clear();
        requiredSets.addAll(replaced);
        requiredSets.add(new WitnessSet(witnesses, Phase.IN_FORCE, 0));
        heartbeatNow();
    }

    /** The proposed change is void and can no longer be accepted. */
    public void onWitnessesRejected() {
        requiredSets.removeIf(set -> set.phase == Phase.PROPOSED);
    }

    public boolean hasEnded(Incarnation witness) {
        return acks.hasEnded(witness);
    }

    public long sinceLastAckNs(Incarnation witness) {
        return acks.sinceLastAckNs(witness, context.nowNs());
    }

    /** Whether witnesses that intersect every end quorum have marked the offset. */
    public boolean isMarked(long offset) {
        for (WitnessSet set : requiredSets) {
            int size = set.members.size();
            if (size > 0 && acks.markedOffset(set.members, SessionTiming.renewalQuorum(size)) < offset) {
                return false;
            }
        }
        return true;
    }

    /** Notifies the witnesses that request records may be in the log. */
    public void announceRecordsInLog() {
        if (recordsInLogConfirmed) {
            context.emit(new ControlAction.RecordsInLogConfirmed());
            return;
        }
        recordsInLog = true;
        if (open) {
            heartbeatNow();
        }
    }

    /** Returns the time since which the lease is not held, or the current time while it is held. */
    public long lostSinceNs() {
        if (relinquished) {
            return notHeldSinceNs;
        }
        return holds(context.nowNs()) ? context.nowNs() : Math.max(notHeldSinceNs, expiryNs);
    }

    /** Whether the incarnation can no longer serve, so that a new one must be started. */
    public boolean cannotRenew() {
        if (!open || relinquished) {
            return false;
        }
        for (WitnessSet set : requiredSets) {
            if (acks.canNeverRenew(set.members)) {
                return true;
            }
        }
        if (holds(context.nowNs())) {
            return false;
        }
        return context.nowNs() - lostSinceNs() > SessionTiming.RETIREMENT_NS || hasTooFewWitnesses();
    }

    /** Whether so many witnesses have ended that the remaining ones cannot renew the lease. */
    private boolean hasTooFewWitnesses() {
        for (WitnessSet set : requiredSets) {
            int remaining = 0;
            for (Incarnation witness : set.members) {
                if (context.state().isOpen(witness) && !acks.hasEnded(witness)) {
                    remaining++;
                }
            }
            if (remaining < SessionTiming.renewalQuorum(set.members.size())) {
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
            acks.onEnded(ack.witness(), context.nowNs());
            return;
        }
        acks.onAck(ack.witness(), heartbeat, context.nowNs());
        renew();
    }

    public void tick() {
        if (relinquished) {
            return;
        }
        detectExpiry();
        if (lastHeartbeatNs == NEVER || context.nowNs() - lastHeartbeatNs >= SessionTiming.HEARTBEAT_INTERVAL_NS) {
            heartbeatNow();
        }
    }

    public void heartbeatNow() {
        if (relinquished || !open && probedWitnesses.isEmpty()) {
            return;
        }
        lastHeartbeatNs = context.nowNs();
        Collection<Incarnation> targets = targets();
        targets.forEach(witness -> acks.onHeartbeatSent(witness, context.nowNs()));
        heartbeats.send(targets, recordsInLog);
        renew();
    }

    /** Relinquishes the lease. This incarnation can never renew it. */
    public void relinquish() {
        if (!relinquished) {
            notHeldSinceNs = lostSinceNs();
            relinquished = true;
            expiryNs = NEVER;
            context.emit(new ControlAction.LeaseExtended(NEVER));
        }
    }

    /** Claims the end of this companion's session at the witnesses, so that a standby can take over at once. */
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
        requiredSets.removeIf(set -> set.phase == Phase.REPLACED
                && acks.markedOffset(set.members, SessionTiming.endQuorum(set.members.size())) >= set.replacedOffset);
        long renewedNs = Long.MAX_VALUE;
        for (WitnessSet set : requiredSets) {
            renewedNs = Math.min(renewedNs, renewedNs(set.members, false));
        }
        long newExpiryNs = renewedNs == NEVER ? NEVER : renewedNs + SessionTiming.HOLDER_LEASE_NS;
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

    private long renewedNs(List<Incarnation> witnesses, boolean withRecordsInLog) {
        // Without witnesses no other companion can end the session, so it renews its own lease.
        return witnesses.isEmpty() ? lastHeartbeatNs : acks.renewedNs(witnesses, withRecordsInLog);
    }

    private void confirmRecordsInLog() {
        if (!recordsInLog || recordsInLogConfirmed) {
            return;
        }
        for (WitnessSet set : requiredSets) {
            if (renewedNs(set.members, true) == NEVER) {
                return;
            }
        }
        recordsInLogConfirmed = true;
        context.emit(new ControlAction.RecordsInLogConfirmed());
    }

    private void detectExpiry() {
        if (held && context.nowNs() >= expiryNs) {
            held = false;
            notHeldSinceNs = expiryNs;
            context.emit(new ControlAction.LeaseExtended(NEVER));
            context.report(ControlNotice.LEASE_LOST, context.self().toString());
        }
    }

    private Collection<Incarnation> targets() {
        Set<Incarnation> targets = new LinkedHashSet<>();
        requiredSets.forEach(set -> targets.addAll(set.members));
        targets.addAll(probedWitnesses);
        return targets;
    }

    /** State of a witness set according to the log. */
    private enum Phase {
        PROPOSED,
        IN_FORCE,
        REPLACED
    }

    /** Witness set that the lease depends on. A replaced set is required until an end quorum of it marks the offset. */
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
