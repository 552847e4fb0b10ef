package org.siskintiller.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.keyrange.HolderLoad;
import org.siskintiller.core.keyrange.KeyBalancer;
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
    /** Instances count as all when none was added for this time: small machines start a second later than large ones. */
    private static final long INSTANCES_SETTLED_NS = 1_500_000_000L;
    /** Pause between two rounds of moves, in which the effect of the first becomes visible in the rates. */
    private static final long MOVE_PAUSE_NS = 1_200_000_000L;
    /** Interval in which the balance of a service is judged. Holders report about as often. */
    private static final long BALANCE_INTERVAL_NS = 200_000_000L;
    /** A move that its holder has not completed by then is given up. */
    private static final long MOVE_TIMEOUT_NS = 5_000_000_000L;

    private final long term;
    private final long electedNs;
    private final KeyPlanner planner = new KeyPlanner();
    private final Map<String, HolderState> holders = new HashMap<>();
    private final Map<String, Round> rounds = new HashMap<>();
    private final Map<String, Long> nextBalanceNs = new HashMap<>();
    private final Map<String, Pending> pending = new HashMap<>();
    private long unknownHoldersOverNs;
    private int knownInstances;
    private long instancesSinceNs;

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
        boolean loses = proposal != null && proposal.losers.contains(report.instance());
        if (report.lastFence() < committed.lastFence() || loses) {
            return Optional.empty();
        }
        HolderState state = holders.computeIfAbsent(report.instance(), name -> new HolderState());
        state.report = report;
        state.leaseOverNs = LeaseTiming.leaseOver(nowNs);
        List<KeyRange> release = new ArrayList<>();
        for (KeyMove move : moves(report.service())) {
            if (move.from().instance().equals(report.instance())) {
                release.add(move.range());
            }
        }
        return Optional.of(release);
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
        if (table.grants().isEmpty() && !isComplete(serving.size(), instances, nowNs)) {
            return Optional.empty();
        }
        List<KeyPlanner.FreeRange> free = free(table, nowNs);
        if (!free.isEmpty()) {
            pending.put(table.service(), new Pending(holdersOf(free, table)));
            return Optional.of(planner.place(table, free, serving, rates(table, nowNs), term));
        }
        balance(table, serving, nowNs);
        return Optional.empty();
    }

    /** Moves of a service that are not complete. */
    public List<KeyMove> moves(String service) {
        Round round = rounds.get(service);
        return round == null ? List.of() : round.moves;
    }

    private boolean isComplete(int serving, int instances, long nowNs) {
        if (instances != knownInstances) {
            knownInstances = instances;
            instancesSinceNs = nowNs;
        }
        boolean settled = serving >= instances && nowNs - instancesSinceNs >= INSTANCES_SETTLED_NS;
        return settled || nowNs - electedNs >= FIRST_PLACEMENT_NS;
    }

    private void balance(KeyTable table, List<HolderLoad> serving, long nowNs) {
        String service = table.service();
        Round round = rounds.get(service);
        if (round != null) {
            List<KeyMove> open = new ArrayList<>(round.moves);
            open.removeIf(move -> isDone(move, table));
            if (!open.isEmpty() && nowNs - round.sinceNs < MOVE_TIMEOUT_NS) {
                rounds.put(service, new Round(open, round.sinceNs));
                return;
            }
            rounds.remove(service);
            nextBalanceNs.put(service, nowNs + MOVE_PAUSE_NS);
        }
        if (nowNs < nextBalanceNs.getOrDefault(service, electedNs + MOVE_PAUSE_NS)) {
            return;
        }
        nextBalanceNs.put(service, nowNs + BALANCE_INTERVAL_NS);
        List<KeyMove> moves = KeyBalancer.balance(table, serving, rates(table, nowNs));
        if (!moves.isEmpty()) {
            rounds.put(service, new Round(moves, nowNs));
        }
    }

    private static boolean isDone(KeyMove move, KeyTable table) {
        return table.grantOf(move.range().from())
                .filter(grant -> grant.holder().equals(move.from().instance()))
                .isEmpty();
    }

    private static Set<String> holdersOf(List<KeyPlanner.FreeRange> ranges, KeyTable table) {
        Set<String> holders = new HashSet<>();
        for (KeyPlanner.FreeRange range : ranges) {
            for (KeyGrant grant : table.grants()) {
                if (grant.range().overlaps(range.range())) {
                    holders.add(grant.holder());
                }
            }
        }
        return holders;
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
        for (KeyMove move : moves(table.service())) {
            if (move.range().overlaps(part)) {
                return move.to().instance();
            }
        }
        return grant.holder();
    }

    private List<HolderLoad> serving(String service, long nowNs) {
        List<HolderLoad> serving = new ArrayList<>();
        holders.forEach((instance, state) -> {
            HolderReport report = state.report;
            if (report.service().equals(service) && report.serving() && nowNs < state.leaseOverNs) {
                KeyTable.Holder holder = new KeyTable.Holder(instance, report.run());
                serving.add(new HolderLoad(
                        holder, Math.max(1, report.capacity()), report.load().total()));
            }
        });
        serving.sort((a, b) -> a.holder().instance().compareTo(b.holder().instance()));
        return serving;
    }

    /** Rates of the busiest buckets, each as its holder reports it: one that gave it away still remembers its rate. */
    private KeyRates rates(KeyTable table, long nowNs) {
        KeyRates rates = new KeyRates();
        holders.forEach((instance, state) -> {
            if (state.report.service().equals(table.service()) && nowNs < state.leaseOverNs) {
                state.report.load().buckets().forEach((bucket, rate) -> {
                    boolean held = table.grantOf(bucket * KeyRates.BUCKET_KEYS)
                            .filter(grant -> grant.holder().equals(instance))
                            .isPresent();
                    if (held) {
                        rates.set(bucket, rate);
                    }
                });
            }
        });
        return rates;
    }

    private static final class HolderState {
        private HolderReport report;
        private long leaseOverNs;
    }

    /**
     * Table on its way to the store, with the holders that lose ranges. They get no lease before they have read it: a
     * lapsed one has not heard of its loss, and one that released the ranges may have restarted and forgotten it.
     */
    private record Pending(Set<String> losers) {}

    /** Moves that were decided together. */
    private record Round(List<KeyMove> moves, long sinceNs) {}
}
