package org.siskintiller.core.session;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.Session;

/** Witness side of other companions' sessions. Keeps a timer, a mark and an ended flag for each, in memory only. */
public final class Witness {
    private static final long MAX_NOTICE_INTERVAL_NS = 5_000 * SessionTiming.MS;
    /** Standbys of a lapsed session have this long to claim it before a witness claims it. */
    private static final long STANDBY_CLAIM_WAIT_NS = 3_000 * SessionTiming.MS;
    /** Witnesses claim one after the other, so that usually only one of them appends the end. */
    private static final long CLAIM_STAGGER_NS = 500 * SessionTiming.MS;
    /** The entry of a session that never appeared in the log is removed this long after its timer expired. */
    private static final long UNOPENED_ENTRY_LIFETIME_NS = 600_000 * SessionTiming.MS;

    private final ControlContext context;
    private final EndClaims claims;
    private final SessionLease lease;
    private final Map<Incarnation, Entry> entries = new LinkedHashMap<>();

    public Witness(ControlContext context, EndClaims claims, SessionLease lease) {
        this.context = context;
        this.lease = lease;
        this.claims = claims;
    }

    /** The log names this companion as a witness of a session, whose holder may be lost before its first heartbeat. */
    public void onSelectedAsWitness(Incarnation holder) {
        entry(holder);
    }

    public void onHeartbeat(PeerMessage.Heartbeat heartbeat) {
        if (!entries.containsKey(heartbeat.holder()) && !lease.holds(context.nowNs())) {
            // Without a lease of its own this companion may retire within seconds, and the holder would lose a witness.
            return;
        }
        Entry entry = entry(heartbeat.holder());
        if (!entry.ended) {
            entry.deadlineNs = context.nowNs() + SessionTiming.WITNESS_LEASE_NS;
            entry.lapsedNs = Long.MAX_VALUE;
            entry.mark = Math.max(entry.mark, heartbeat.appliedOffset());
            entry.recordsInLog |= heartbeat.recordsInLog();
        }
        context.send(
                heartbeat.holder(),
                new PeerMessage.HeartbeatAck(
                        context.self(),
                        heartbeat.holder(),
                        heartbeat.sequence(),
                        entry.ended,
                        context.state().appliedOffset()));
    }

    public void onClaim(PeerMessage.EndClaim claim) {
        Entry entry = entry(claim.holder());
        // A holder relinquishes its lease before it claims the end of its own session.
        boolean granted = entry.ended
                || context.nowNs() >= entry.deadlineNs
                || claim.claimant().equals(claim.holder());
        long remainingMs = 0;
        long previousMark = entry.mark;
        List<Incarnation> earlierClaimants = new ArrayList<>(entry.claimants);
        earlierClaimants.remove(claim.claimant());
        if (granted) {
            end(entry, claim);
        } else {
            remainingMs = (entry.deadlineNs - context.nowNs()) / SessionTiming.MS + 1;
        }
        context.send(
                claim.claimant(),
                new PeerMessage.EndClaimReply(
                        context.self(),
                        claim.holder(),
                        granted,
                        remainingMs,
                        previousMark,
                        entry.recordsInLog,
                        earlierClaimants));
    }

    /** Notifies the standbys of lapsed sessions, and claims sessions that no other companion ends. */
    public void tick() {
        List<Incarnation> unused = new ArrayList<>();
        entries.forEach((holder, entry) -> {
            if (context.nowNs() < entry.deadlineNs) {
                return;
            }
            if (isWitnessOf(holder)) {
                onLapsed(holder, entry);
            } else if (!entry.ended
                    && !context.state().isOpen(holder)
                    && context.nowNs() - entry.deadlineNs > UNOPENED_ENTRY_LIFETIME_NS) {
                unused.add(holder);
            }
        });
        entries.keySet().removeAll(unused);
    }

    private void end(Entry entry, PeerMessage.EndClaim claim) {
        entry.ended = true;
        entry.deadlineNs = Math.min(entry.deadlineNs, context.nowNs());
        entry.mark = Math.max(entry.mark, claim.appliedOffset());
        if (!claim.claimant().equals(claim.holder())) {
            entry.claimants.add(claim.claimant());
        }
    }

    private void onLapsed(Incarnation holder, Entry entry) {
        if (entry.lapsedNs == Long.MAX_VALUE) {
            entry.lapsedNs = context.nowNs();
            entry.nextNoticeNs = context.nowNs();
            entry.noticeIntervalNs = SessionTiming.RETRY_INTERVAL_NS;
            entry.standbys = standbysOf(holder);
        }
        if (entry.nextNoticeNs <= context.nowNs()) {
            entry.nextNoticeNs = context.nowNs() + entry.noticeIntervalNs;
            entry.noticeIntervalNs = Math.min(entry.noticeIntervalNs * 2, MAX_NOTICE_INTERVAL_NS);
            for (Incarnation standby : entry.standbys) {
                context.send(standby, new PeerMessage.LapseNotice(context.self(), holder));
            }
        }
        long waitNs = entry.standbys.isEmpty() ? 0 : STANDBY_CLAIM_WAIT_NS;
        int witnessIndex =
                context.state().session(holder).orElseThrow().witnesses().indexOf(context.self());
        if (context.nowNs() - entry.lapsedNs >= waitNs + witnessIndex * CLAIM_STAGGER_NS) {
            claims.start(holder);
        }
    }

    private boolean isWitnessOf(Incarnation holder) {
        Optional<Session> session = context.state().session(holder);
        return session.isPresent() && session.get().witnesses().contains(context.self());
    }

    /** Returns the candidates after a session in any slot. Scans all slots of its service, once for each lapse. */
    private Set<Incarnation> standbysOf(Incarnation holder) {
        String service =
                context.state().session(holder).orElseThrow().backendServer().service();
        Set<Incarnation> standbys = new LinkedHashSet<>();
        int slots = context.state().slotCount(service);
        for (int slot = 0; slot < slots; slot++) {
            List<Incarnation> candidates =
                    context.state().assignment(service, slot).candidates();
            int index = candidates.indexOf(holder);
            if (index >= 0) {
                standbys.addAll(candidates.subList(index + 1, candidates.size()));
            }
        }
        return standbys;
    }

    /** Returns the entry of a holder. A new entry starts a full timer, since the lease may have been renewed before. */
    private Entry entry(Incarnation holder) {
        Entry entry =
                entries.computeIfAbsent(holder, key -> new Entry(context.nowNs() + SessionTiming.WITNESS_LEASE_NS));
        if (!entry.ended && context.state().ended(holder).isPresent()) {
            entry.ended = true;
        }
        return entry;
    }

    /** State that a witness keeps for one session. */
    private static final class Entry {
        private final Set<Incarnation> claimants = new LinkedHashSet<>();
        private long deadlineNs;
        private long mark = -1;
        private boolean ended;
        private boolean recordsInLog;
        private long lapsedNs = Long.MAX_VALUE;
        private long nextNoticeNs;
        private long noticeIntervalNs;
        private Set<Incarnation> standbys = Set.of();

        Entry(long deadlineNs) {
            this.deadlineNs = deadlineNs;
        }
    }
}
