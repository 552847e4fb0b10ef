package org.siskintiller.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.keyrange.HolderLoad;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyMove;
import org.siskintiller.core.keyrange.KeyPlanner;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.keyrange.KeyRates;
import org.siskintiller.core.keyrange.KeyTable;

/**
 * Decides who holds which keys during one term. It proposes tables, which take effect when they are read back from the
 * store, and takes a range only from a holder that released it or whose lease is over.
 */
public final class Authority {
    /** A table is first filled when all instances serve or this time has passed, so that they get equal shares. */
    private static final long FIRST_PLACEMENT_NS = 5_000_000_000L;
    /** Pause between two moves for balance, in which the effect of the first becomes visible. */
    private static final long MOVE_PAUSE_NS = 1_200_000_000L;
    /** A move that its holder has not completed by then is given up. */
    private static final long MOVE_TIMEOUT_NS = 5_000_000_000L;

    private final long term;
    private final long electedNs;
    private final KeyPlanner planner = new KeyPlanner();
    private final Map<String, HolderState> holders = new HashMap<>();
    private final Map<String, Move> moves = new HashMap<>();
    private final Map<String, Long> lastMoveNs = new HashMap<>();
    private final Map<String, Pending> pending = new HashMap<>();
    private long unknownHoldersOverNs;

    /**
     * Starts a term.
     *
     * @param predecessorGone whether the previous authority cannot renew leases any more
     */
    public Authority(long term, boolean predecessorGone, long nowNs) {
        this.term = term;
        this.electedNs = nowNs;
        long oldAuthority = predecessorGone ? 0 : LeaseTiming.AUTHORITY_WITHOUT_STORE_NS;
        this.unknownHoldersOverNs = LeaseTiming.leaseOver(nowNs) + oldAuthority;
    }

    public long term() {
        return term;
    }

    /** Whether leases may still be renewed, given when the last successful read of the store was sent. */
    public static boolean mayRenew(long storeContactNs, long nowNs) {
        return nowNs - storeContactNs < LeaseTiming.AUTHORITY_WITHOUT_STORE_NS;
    }

    /** The old authority confirmed that it renews no more leases. */
    public void predecessorResigned(long nowNs) {
        unknownHoldersOverNs = Math.min(unknownHoldersOverNs, LeaseTiming.leaseOver(nowNs));
    }

    /**
     * Renews the lease of a holder and returns the ranges that it is asked to release. Nothing is renewed for a holder
     * that has not read the committed table, or that a table on its way to the store takes ranges from.
     */
    public Optional<List<KeyRange>> renew(HolderReport report, KeyTable committed, long nowNs) {
        Pending proposal = pending.get(report.service());
        boolean lapsed = proposal != null && proposal.lapsed.contains(report.instance());
        if (report.lastFence() < committed.lastFence() || lapsed) {
            return Optional.empty();
        }
        HolderState state = holders.computeIfAbsent(report.instance(), name -> new HolderState());
        state.report = report;
        state.leaseOverNs = LeaseTiming.leaseOver(nowNs);
        Move move = moves.get(report.service());
        if (move == null || !move.plan.from().instance().equals(report.instance())) {
            return Optional.of(List.of());
        }
        return Optional.of(List.of(move.plan.range()));
    }

    /** Ends the wait for a proposed table, because it was read back or can no longer be appended. */
    public void proposalSettled(String service) {
        pending.remove(service);
    }

    /**
     * Returns the table that should replace the committed one, if any change is due and none is on its way.
     *
     * @param instances known instances of the service, whether they serve or not
     */
    public Optional<KeyTable> plan(KeyTable table, int instances, long nowNs) {
        if (pending.containsKey(table.service())) {
            return Optional.empty();
        }
        List<HolderLoad> serving = serving(table.service(), nowNs);
        if (serving.isEmpty()) {
            return Optional.empty();
        }
        if (table.grants().isEmpty() && serving.size() < instances && nowNs - electedNs < FIRST_PLACEMENT_NS) {
            return Optional.empty();
        }
        KeyRates rates = rates(table.service(), nowNs);
        List<KeyPlanner.FreeRange> free = free(table, nowNs);
        if (!free.isEmpty()) {
            pending.put(table.service(), new Pending(lapsedHolders(table, nowNs)));
            return Optional.of(planner.place(table, free, serving, rates, term));
        }
        planMove(table, serving, rates, nowNs);
        return Optional.empty();
    }

    /** Range that is being moved in a service, for the log. */
    public Optional<KeyMove> move(String service) {
        return Optional.ofNullable(moves.get(service)).map(move -> move.plan);
    }

    private void planMove(KeyTable table, List<HolderLoad> serving, KeyRates rates, long nowNs) {
        Move move = moves.get(table.service());
        if (move != null) {
            boolean done = table.grantOf(move.plan.range().from())
                    .filter(grant -> grant.holder().equals(move.plan.from().instance()))
                    .isEmpty();
            if (!done && nowNs - move.sinceNs < MOVE_TIMEOUT_NS) {
                return;
            }
            moves.remove(table.service());
            lastMoveNs.put(table.service(), nowNs);
        }
        if (nowNs - lastMoveNs.getOrDefault(table.service(), electedNs) < MOVE_PAUSE_NS) {
            return;
        }
        planner.balance(table, serving, rates).ifPresent(plan -> moves.put(table.service(), new Move(plan, nowNs)));
    }

    private Set<String> lapsedHolders(KeyTable table, long nowNs) {
        Set<String> lapsed = new HashSet<>();
        for (KeyGrant grant : table.grants()) {
            if (nowNs > leaseOverNs(grant.holder())) {
                lapsed.add(grant.holder());
            }
        }
        return lapsed;
    }

    private long leaseOverNs(String instance) {
        HolderState state = holders.get(instance);
        return state == null ? unknownHoldersOverNs : state.leaseOverNs;
    }

    private List<KeyPlanner.FreeRange> free(KeyTable table, long nowNs) {
        List<KeyPlanner.FreeRange> free = new ArrayList<>();
        for (KeyRange range : table.unassigned()) {
            free.add(new KeyPlanner.FreeRange(range, "", ""));
        }
        for (KeyGrant grant : table.grants()) {
            if (nowNs > leaseOverNs(grant.holder())) {
                free.add(new KeyPlanner.FreeRange(grant.range(), "", ""));
                continue;
            }
            HolderState state = holders.get(grant.holder());
            if (state == null) {
                continue;
            }
            for (HolderReport.Released released : state.report.released()) {
                if (released.fence() != grant.fence() || !released.range().overlaps(grant.range())) {
                    continue;
                }
                KeyRange part = released.range().intersection(grant.range());
                free.add(new KeyPlanner.FreeRange(part, released.handover(), preferred(table, grant, part)));
            }
        }
        return free;
    }

    /** A moved range goes to its target; one whose backend server restarted stays with the instance. */
    private String preferred(KeyTable table, KeyGrant grant, KeyRange part) {
        Move move = moves.get(table.service());
        if (move != null && move.plan.range().overlaps(part)) {
            return move.plan.to().instance();
        }
        return grant.holder();
    }

    private List<HolderLoad> serving(String service, long nowNs) {
        List<HolderLoad> serving = new ArrayList<>();
        holders.forEach((instance, state) -> {
            HolderReport report = state.report;
            if (report.service().equals(service) && report.serving() && nowNs < state.leaseOverNs) {
                KeyTable.Holder holder = new KeyTable.Holder(instance, report.run());
                serving.add(new HolderLoad(holder, Math.max(1, report.capacity())));
            }
        });
        serving.sort((a, b) -> a.holder().instance().compareTo(b.holder().instance()));
        return serving;
    }

    private KeyRates rates(String service, long nowNs) {
        KeyRates rates = new KeyRates();
        holders.forEach((instance, state) -> {
            if (state.report.service().equals(service) && nowNs < state.leaseOverNs) {
                state.report.rates().forEach((bucket, rate) -> rates.set(bucket, rates.rate(bucket) + rate));
            }
        });
        return rates;
    }

    private static final class HolderState {
        private HolderReport report;
        private long leaseOverNs;
    }

    /** Table on its way to the store, with the holders that lose ranges because their lease is over. */
    private record Pending(Set<String> lapsed) {}

    private record Move(KeyMove plan, long sinceNs) {}
}
