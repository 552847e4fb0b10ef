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

/** Claimant side of ending sessions: sends end claims to the witnesses of lapsed sessions and counts the grants. */
public final class EndClaims {
    /** A claim without any grant is dropped this long after the last call that started or extended it. */
    private static final long CLAIM_LIFETIME_NS = 5_000 * SessionTiming.MS;
    /** The end is appended after a delay that differs between claimants, so that few of them append it. */
    private static final long MAX_APPEND_DELAY_MS = 1_500;
    /** A retired witness counts as a grant only if the log read to the tail started after its retirement. */
    private static final long LOG_READ_MARGIN_NS = 2_000 * SessionTiming.MS;

    private final ControlContext context;
    private final EndRegistry ends;
    private final Appender appender;
    private final RecordRelay relay;
    private final Map<Incarnation, Claim> claims = new LinkedHashMap<>();
    private final Map<Incarnation, Long> endAppendTimesNs = new LinkedHashMap<>();
    private Consumer<Incarnation> listener = ended -> {};
    private long lastLogTailNs = Long.MIN_VALUE;

    public EndClaims(ControlContext context, EndRegistry ends, Appender appender, RecordRelay relay) {
        this.context = context;
        this.ends = ends;
        this.appender = appender;
        this.relay = relay;
    }

    /** Sets the listener that is called after each granted claim. */
    public void onEnded(Consumer<Incarnation> newListener) {
        listener = newListener;
    }

    /** Starts or extends a claim. The witnesses refuse it while the holder still renews its lease. */
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
            sendClaims(holder, claim);
        }
        claim.lastStartNs = context.nowNs();
    }

    public void onReply(PeerMessage.EndClaimReply reply) {
        Claim claim = claims.get(reply.holder());
        if (claim == null) {
            return;
        }
        if (reply.granted()) {
            claim.grantedMarks.merge(reply.witness(), reply.mark(), Math::max);
            claim.recordsInLog |= reply.recordsInLog();
        } else {
            claim.nextSendTimesNs.put(reply.witness(), context.nowNs() + reply.remainingMs() * SessionTiming.MS);
        }
        completeIfGranted(reply.holder(), claim);
    }

    /** The log was read to its tail. */
    public void onLogTail() {
        lastLogTailNs = context.nowNs();
    }

    /** Records were applied: claims may have reached their marks, and sessions may have other witnesses. */
    public void onApplied() {
        for (Incarnation holder : new ArrayList<>(claims.keySet())) {
            if (ends.isEnded(holder)) {
                claims.remove(holder);
            } else {
                completeIfGranted(holder, claims.get(holder));
            }
        }
    }

    public void tick() {
        for (Incarnation holder : new ArrayList<>(claims.keySet())) {
            Claim claim = claims.get(holder);
            if (claim.grantedMarks.isEmpty() && context.nowNs() - claim.lastStartNs > CLAIM_LIFETIME_NS) {
                claims.remove(holder);
                continue;
            }
            sendClaims(holder, claim);
            completeIfGranted(holder, claim);
        }
        appendDueEnds();
    }

    private void sendClaims(Incarnation holder, Claim claim) {
        for (Incarnation witness : witnessesOf(holder)) {
            long nextSendNs = claim.nextSendTimesNs.getOrDefault(witness, Long.MIN_VALUE);
            if (!claim.grantedMarks.containsKey(witness) && nextSendNs <= context.nowNs()) {
                claim.nextSendTimesNs.put(witness, context.nowNs() + SessionTiming.RETRY_INTERVAL_NS);
                context.send(
                        witness,
                        new PeerMessage.EndClaim(
                                context.self(), holder, context.state().appliedOffset()));
            }
        }
    }

    /**
     * Completes a claim that an end quorum of the witnesses in force has granted. The applied offset must have reached
     * the marks of all witnesses that ever granted it.
     */
    private void completeIfGranted(Incarnation holder, Claim claim) {
        List<Incarnation> witnesses = witnessesOf(holder);
        int grants = 0;
        for (Incarnation witness : witnesses) {
            if (claim.grantedMarks.containsKey(witness) || isRetired(witness)) {
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
        endAppendTimesNs.put(holder, context.nowNs() + appendDelayNs(holder));
        context.report(ControlNotice.CLAIM_GRANTED, holder.toString());
        listener.accept(holder);
    }

    private boolean isRetired(Incarnation witness) {
        return ends.isRetiredWitness(witness)
                && lastLogTailNs
                        > ends.find(witness).knownSinceNs() + SessionTiming.WITNESS_RETIRED_NS + LOG_READ_MARGIN_NS;
    }

    private void appendDueEnds() {
        for (Incarnation holder : new ArrayList<>(endAppendTimesNs.keySet())) {
            if (!context.state().isOpen(holder)) {
                endAppendTimesNs.remove(holder);
            } else if (endAppendTimesNs.get(holder) <= context.nowNs()) {
                endAppendTimesNs.remove(holder);
                appender.append(new LogRecord.SessionEnded(
                        holder, context.self(), context.state().appliedOffset()));
            }
        }
    }

    private long appendDelayNs(Incarnation holder) {
        long mixed = (holder.id() ^ context.self().id()) * 0x9E3779B97F4A7C15L;
        return (mixed >>> 33) % MAX_APPEND_DELAY_MS * SessionTiming.MS;
    }

    private List<Incarnation> witnessesOf(Incarnation holder) {
        return context.state().session(holder).map(Session::witnesses).orElse(List.of());
    }

    /** Claim that an end quorum has not granted yet. */
    private static final class Claim {
        private final Map<Incarnation, Long> grantedMarks = new HashMap<>();
        private final Map<Incarnation, Long> nextSendTimesNs = new HashMap<>();
        private boolean recordsInLog;
        private long lastStartNs;

        long mark() {
            long mark = -1;
            for (long witnessMark : grantedMarks.values()) {
                mark = Math.max(mark, witnessMark);
            }
            return mark;
        }
    }
}
