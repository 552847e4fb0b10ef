package org.siskintiller.core.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.siskintiller.core.control.Appender;
import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.control.ControlNotice;
import org.siskintiller.core.control.RecordRelay;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.Session;

/** Claimant side: asks the witnesses of lapsed sessions to end them. */
public final class EndClaims {
    /** A claim without any grant is dropped this long after it was last asked for. */
    private static final long CLAIM_LIFETIME_NS = 5_000 * SessionTiming.MS;
    /** The end is appended after a delay that differs between claimants, so that few of them append it. */
    private static final long LONGEST_APPEND_DELAY_MS = 1_500;
    /** The log read that precedes the use of a retired witness must have started after its retirement. */
    private static final long TAIL_MARGIN_NS = 2_000 * SessionTiming.MS;

    private final ControlContext context;
    private final EndRegistry ends;
    private final Appender appender;
    private final RecordRelay relay;
    private final Map<Incarnation, Claim> claims = new LinkedHashMap<>();
    private final Map<Incarnation, Long> unrecorded = new LinkedHashMap<>();
    private Consumer<Incarnation> listener = ended -> {};
    private long lastTailNs = Long.MIN_VALUE;

    public EndClaims(ControlContext context, EndRegistry ends, Appender appender, RecordRelay relay) {
        this.context = context;
        this.ends = ends;
        this.appender = appender;
        this.relay = relay;
    }

    /** Sets who is told of each granted end. */
    public void onEnded(Consumer<Incarnation> newListener) {
        listener = newListener;
    }

    /** Starts or prolongs a claim. The witnesses refuse it while the holder still renews its lease. */
    public void start(Incarnation holder) {
        if (holder.equals(context.self())
                || ends.isEnded(holder)
                || witnessesOf(holder).isEmpty()) {
            return;
        }
        Claim claim = claims.get(holder);
        if (claim == null) {
            claim = new Claim();
            claims.put(holder, claim);
            context.report(ControlNotice.CLAIM_STARTED, holder.toString());
            ask(holder, claim);
        }
        claim.wantedNs = context.nowNs();
    }

    public void onReply(PeerMessage.EndClaimReply reply) {
        Claim claim = claims.get(reply.holder());
        if (claim == null) {
            return;
        }
        if (reply.granted()) {
            claim.granted.merge(reply.witness(), reply.mark(), Math::max);
            claim.recordsInLog |= reply.recordsInLog();
        } else {
            claim.askAgainNs.put(reply.witness(), context.nowNs() + reply.remainingMs() * SessionTiming.MS);
        }
        complete(reply.holder(), claim);
    }

    /** The log was read to its tail. */
    public void onLogTail() {
        lastTailNs = context.nowNs();
    }

    /** Records were applied, so that a claim may have caught up, or asks other witnesses. */
    public void onApplied() {
        for (Incarnation holder : new ArrayList<>(claims.keySet())) {
            if (ends.isEnded(holder)) {
                claims.remove(holder);
            } else {
                complete(holder, claims.get(holder));
            }
        }
    }

    public void tick() {
        for (Incarnation holder : new ArrayList<>(claims.keySet())) {
            Claim claim = claims.get(holder);
            if (claim.granted.isEmpty() && context.nowNs() - claim.wantedNs > CLAIM_LIFETIME_NS) {
                claims.remove(holder);
                continue;
            }
            ask(holder, claim);
            complete(holder, claim);
        }
        recordEnds();
    }

    private void ask(Incarnation holder, Claim claim) {
        for (Incarnation witness : witnessesOf(holder)) {
            long dueNs = claim.askAgainNs.getOrDefault(witness, Long.MIN_VALUE);
            if (!claim.granted.containsKey(witness) && dueNs <= context.nowNs()) {
                claim.askAgainNs.put(witness, context.nowNs() + SessionTiming.RETRY_INTERVAL_NS);
                context.send(
                        witness,
                        new PeerMessage.EndClaim(
                                context.self(), holder, context.state().appliedOffset()));
            }
        }
    }

    /** Counts the grants of the witnesses in force. Marks of all witnesses that ever granted must be reached. */
    private void complete(Incarnation holder, Claim claim) {
        List<Incarnation> witnesses = witnessesOf(holder);
        int grants = 0;
        for (Incarnation witness : witnesses) {
            if (claim.granted.containsKey(witness) || isRetired(witness)) {
                grants++;
            }
        }
        if (witnesses.isEmpty() || grants < SessionTiming.endQuorum(witnesses.size())) {
            return;
        }
        long mark = claim.mark();
        if (mark > context.state().appliedOffset()) {
            relay.catchUp(mark);
            return;
        }
        claims.remove(holder);
        ends.recordClaimed(holder, claim.recordsInLog);
        unrecorded.put(holder, context.nowNs() + appendDelayNs(holder));
        context.report(ControlNotice.CLAIM_GRANTED, holder.toString());
        listener.accept(holder);
    }

    private boolean isRetired(Incarnation witness) {
        return ends.isRetiredWitness(witness)
                && lastTailNs > ends.find(witness).knownSinceNs() + SessionTiming.WITNESS_RETIRED_NS + TAIL_MARGIN_NS;
    }

    private void recordEnds() {
        for (Incarnation holder : new ArrayList<>(unrecorded.keySet())) {
            if (!context.state().isOpen(holder)) {
                unrecorded.remove(holder);
            } else if (unrecorded.get(holder) <= context.nowNs()) {
                unrecorded.remove(holder);
                appender.append(new LogRecord.SessionEnded(
                        holder, context.self(), context.state().appliedOffset()));
            }
        }
    }

    private long appendDelayNs(Incarnation holder) {
        long mixed = (holder.id() ^ context.self().id()) * 0x9E3779B97F4A7C15L;
        return (mixed >>> 33) % LONGEST_APPEND_DELAY_MS * SessionTiming.MS;
    }

    private List<Incarnation> witnessesOf(Incarnation holder) {
        return context.state().session(holder).map(Session::witnesses).orElse(List.of());
    }

    /** Claim that is not granted yet. */
    private static final class Claim {
        private final Map<Incarnation, Long> granted = new HashMap<>();
        private final Map<Incarnation, Long> askAgainNs = new HashMap<>();
        private boolean recordsInLog;
        private long wantedNs;

        long mark() {
            long mark = -1;
            for (long each : granted.values()) {
                mark = Math.max(mark, each);
            }
            return mark;
        }
    }
}
