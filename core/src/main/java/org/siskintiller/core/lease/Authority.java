package org.siskintiller.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.keyrange.EvacuationPlanner;
import org.siskintiller.core.keyrange.HolderLoad;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyMove;
import org.siskintiller.core.keyrange.KeyPlanner;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.keyrange.KeyRates;
import org.siskintiller.core.keyrange.KeyTable;

/**
 * Decides who holds which keys during one term. It proposes tables, which take effect when they are read back from the
 * store, and takes a range only from a holder that released it or whose lease has expired.
 */
public final class Authority {
    /** The first table waits at most this long for all instances to serve, so that they get equal shares. */
    private static final long MAX_FIRST_PLACEMENT_WAIT_NS = 5_000_000_000L;
    /** Time without a new instance after which all count as known: small machines start a second after large ones. */
    private static final long INSTANCES_SETTLED_NS = 1_500_000_000L;
    /** Time after the election in which no keys are moved, so that all holders have reported their loads. */
    private static final long FIRST_BALANCE_NS = 1_200_000_000L;

    private final long term;
    private final long electedNs;
    private final KeyPlanner planner = new KeyPlanner();
    private final Map<String, HolderState> holders = new HashMap<>();
    private final Map<String, BalanceMoves> balances = new HashMap<>();
    private final Map<String, List<KeyMove>> evacuations = new HashMap<>();
    private final Map<String, ProposedTable> proposals = new HashMap<>();
    private Set<String> evacuated = Set.of();
    private long unknownLeasesEndNs;
    private int knownInstances;
    private long instancesChangedNs;

    /**
     * Starts a term.
     *
     * @param predecessorEnded whether the previous authority can no longer renew leases
     */
    public Authority(long term, boolean predecessorEnded, long nowNs) {
        this.term = term;
        this.electedNs = nowNs;
        long predecessorNs = predecessorEnded ? 0 : LeaseTiming.AUTHORITY_WITHOUT_STORE_NS;
        this.unknownLeasesEndNs = LeaseTiming.leaseEnd(nowNs) + predecessorNs;
    }

    public long term() {
        return term;
    }

    /**
     * Whether an authority may still renew leases.
     *
     * @param storeContactNs time at which its last successful read of the store was sent
     */
    public static boolean mayRenew(long storeContactNs, long nowNs) {
        return nowNs - storeContactNs < LeaseTiming.AUTHORITY_WITHOUT_STORE_NS;
    }

    /** Shortens the wait for unknown holders: the previous authority confirmed that it no longer renews leases. */
    public void predecessorResigned(long nowNs) {
        unknownLeasesEndNs = Math.min(unknownLeasesEndNs, LeaseTiming.leaseEnd(nowNs));
    }

    /**
     * Renews the lease of a holder and returns the ranges that it must release. Returns empty and renews nothing for a
     * holder that has not read the committed table or that loses ranges in the proposed one. Before the table is
     * established in the era of the store, only holders are renewed whose report shows that they serve by this table.
     */
    public Optional<List<KeyRange>> renew(HolderReport report, KeyTable committed, long nowNs) {
        ProposedTable proposal = proposals.get(report.service());
        boolean losesRanges = proposal != null && proposal.losingHolders.contains(report.instance());
        if (report.lastFence() < committed.lastFence() || losesRanges) {
            return Optional.empty();
        }
        // A holder with another table knows one that the store has lost. One without a table proves nothing.
        if (!established(committed) && (report.lastFence() == 0 || report.lastFence() != committed.lastFence())) {
            return Optional.empty();
        }
        HolderState state = holders.computeIfAbsent(report.instance(), name -> new HolderState());
        state.report = report;
        state.reportedNs = nowNs;
        state.leaseEndNs = LeaseTiming.leaseEnd(nowNs);
        if (report.load().total() > report.capacity()) {
            balances.computeIfAbsent(report.service(), service -> new BalanceMoves())
                    .planAtOnce();
        }
        return Optional.of(releases(report.service(), report.instance()));
    }

    /** Ranges that a holder must release. */
    public List<KeyRange> releases(String service, String instance) {
        List<KeyRange> releases = new ArrayList<>();
        for (KeyMove move : moves(service)) {
            if (move.from().instance().equals(instance)) {
                releases.add(move.range());
            }
        }
        return releases;
    }

    /** Nothing was ever held: the store has neither a table nor an earlier claim. */
    public void storeIsNew(long nowNs) {
        unknownLeasesEndNs = nowNs;
    }

    /** Whether the table was written in the present era of the store, so that no newer one can be lost. */
    public boolean established(KeyTable table) {
        return StoreEra.ofTerm(table.term()) >= StoreEra.ofTerm(term);
    }

    /**
     * Returns a table that repeats the grants of the given one under this term, if no table is proposed already. From a
     * table of an earlier era, grants remain only of holders that were renewed by it: a lease that has not expired since
     * proves that the range was not assigned to another holder. Without this proof for all keys, the table is replaced
     * only when all leases of earlier authorities have expired, and the other keys have no holder in it.
     *
     * @param firstFence lower bound of the table's last fence
     */
    public Optional<KeyTable> restate(KeyTable table, long firstFence, long nowNs) {
        if (proposals.containsKey(table.service())) {
            return Optional.empty();
        }
        List<KeyGrant> kept = table.grants();
        if (!established(table)) {
            kept = new ArrayList<>();
            for (KeyGrant grant : table.grants()) {
                kept.addAll(provenParts(grant, table, nowNs));
            }
            boolean isComplete = table.unassigned().isEmpty() && kept.equals(table.grants());
            if (!isComplete && (nowNs <= unknownLeasesEndNs || servesByAnotherTable(table, nowNs))) {
                return Optional.empty();
            }
        }
        KeyTable next = new KeyTable(table.service(), term, Math.max(table.lastFence() + 1, firstFence), kept);
        List<KeyPlanner.FreeRange> removed = new ArrayList<>();
        next.unassigned().forEach(range -> removed.add(new KeyPlanner.FreeRange(range, "", "")));
        proposals.put(table.service(), new ProposedTable(holdersOf(removed, table)));
        return Optional.of(next);
    }

    /** Whether a holder that this authority renewed serves by another table, until it reports this one or its lease ends. */
    private boolean servesByAnotherTable(KeyTable table, long nowNs) {
        return holders.values().stream()
                .anyMatch(state -> state.report.service().equals(table.service())
                        && nowNs < state.leaseEndNs
                        && state.report.lastFence() != table.lastFence());
    }

    /** Parts of a grant that its holder certainly has, by its report on the same table. */
    private List<KeyGrant> provenParts(KeyGrant grant, KeyTable table, long nowNs) {
        HolderState state = holders.get(grant.holder());
        if (state == null || nowNs >= state.leaseEndNs || state.report.lastFence() != table.lastFence()) {
            return List.of();
        }
        List<KeyRange> released = new ArrayList<>();
        for (HolderReport.Released entry : state.report.released()) {
            if (entry.fence() == grant.fence()) {
                released.add(entry.range());
            }
        }
        return grant.without(released);
    }

    /** Ends the wait for a proposed table, because it was read back or can no longer be appended. */
    public void proposalSettled(String service) {
        proposals.remove(service);
    }

    /**
     * Returns the table that should replace the committed one, if it needs a change and no table is proposed already.
     *
     * @param table established table
     * @param firstFence lower bound of new fences
     * @param instances known instances of the service, including those that do not serve
     */
    public Optional<KeyTable> plan(KeyTable table, long firstFence, int instances, long nowNs) {
        if (proposals.containsKey(table.service())) {
            return Optional.empty();
        }
        List<HolderLoad> serving = serving(table.service(), nowNs);
        if (serving.isEmpty()) {
            return Optional.empty();
        }
        if (table.grants().isEmpty() && !isReadyForFirstTable(serving.size(), instances, nowNs)) {
            return Optional.empty();
        }
        List<KeyPlanner.FreeRange> free = freeRanges(table, nowNs);
        if (!free.isEmpty()) {
            proposals.put(table.service(), new ProposedTable(holdersOf(free, table)));
            return Optional.of(
                    planner.place(table.withNextFence(firstFence), free, serving, rates(table, nowNs), term));
        }
        evacuate(table, serving, nowNs);
        balance(table, serving, nowNs);
        return Optional.empty();
    }

    /**
     * Sets the instances whose failure domain is evacuated. They get no keys and release what they hold. What instances
     * that are no longer evacuated have not released stays with them.
     */
    public void setEvacuated(Set<String> instances) {
        if (instances.equals(evacuated)) {
            return;
        }
        evacuated = Set.copyOf(instances);
        evacuations
                .values()
                .forEach(moves ->
                        moves.removeIf(move -> !evacuated.contains(move.from().instance()) || isEvacuated(move.to())));
        balances.values().forEach(moves -> moves.cancel(move -> isEvacuated(move.from()) || isEvacuated(move.to())));
    }

    /** Moves of a service that are not complete. */
    public List<KeyMove> moves(String service) {
        List<KeyMove> moves = new ArrayList<>(evacuations.getOrDefault(service, List.of()));
        BalanceMoves balance = balances.get(service);
        if (balance != null) {
            moves.addAll(balance.open());
        }
        return moves;
    }

    private boolean isEvacuated(KeyTable.Holder holder) {
        return evacuated.contains(holder.instance());
    }

    /** Moves all ranges of evacuated holders. A holder that does not release them loses them with its lease. */
    private void evacuate(KeyTable table, List<HolderLoad> targets, long nowNs) {
        List<HolderLoad> leaving = new ArrayList<>();
        for (HolderLoad load : loads(table.service(), nowNs)) {
            if (isEvacuated(load.holder()) && table.keysHeldBy(load.holder().instance()) > 0) {
                leaving.add(load);
            }
        }
        List<KeyMove> open = new ArrayList<>(evacuations.getOrDefault(table.service(), List.of()));
        open.removeIf(move -> BalanceMoves.isComplete(move, table)
                || targets.stream().noneMatch(target -> target.holder().equals(move.to())));
        if (leaving.isEmpty()) {
            evacuations.remove(table.service());
            return;
        }
        boolean isPlanned = leaving.stream().allMatch(load -> isMoving(load.holder(), table, open));
        evacuations.put(
                table.service(),
                isPlanned
                        ? open
                        : new ArrayList<>(EvacuationPlanner.moves(table, leaving, open, targets, rates(table, nowNs))));
    }

    private boolean isReadyForFirstTable(int serving, int instances, long nowNs) {
        if (instances != knownInstances) {
            knownInstances = instances;
            instancesChangedNs = nowNs;
        }
        boolean settled = serving >= instances && nowNs - instancesChangedNs >= INSTANCES_SETTLED_NS;
        return settled || nowNs - electedNs >= MAX_FIRST_PLACEMENT_WAIT_NS;
    }

    private void balance(KeyTable table, List<HolderLoad> serving, long nowNs) {
        BalanceMoves moves = balances.computeIfAbsent(table.service(), service -> new BalanceMoves());
        moves.update(table, nowNs);
        if (nowNs - electedNs >= FIRST_BALANCE_NS && moves.isDue(nowNs)) {
            moves.plan(table, serving, reports(serving), rates(table, nowNs), nowNs);
        }
    }

    private Map<String, BalanceMoves.Report> reports(List<HolderLoad> serving) {
        Map<String, BalanceMoves.Report> reports = new HashMap<>();
        for (HolderLoad load : serving) {
            HolderState state = holders.get(load.holder().instance());
            reports.put(load.holder().instance(), new BalanceMoves.Report(state.report.load(), state.reportedNs));
        }
        return reports;
    }

    private static boolean isMoving(KeyTable.Holder holder, KeyTable table, List<KeyMove> moves) {
        List<KeyRange> moving = moves.stream().map(KeyMove::range).toList();
        return table.heldBy(holder.instance()).stream()
                .allMatch(grant -> grant.without(moving).isEmpty());
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

    private long leaseEndNs(String instance) {
        HolderState state = holders.get(instance);
        return state == null ? unknownLeasesEndNs : state.leaseEndNs;
    }

    private List<KeyPlanner.FreeRange> freeRanges(KeyTable table, long nowNs) {
        List<KeyPlanner.FreeRange> free = new ArrayList<>();
        for (KeyRange range : table.unassigned()) {
            free.add(new KeyPlanner.FreeRange(range, "", ""));
        }
        for (KeyGrant grant : table.grants()) {
            if (nowNs > leaseEndNs(grant.holder())) {
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
                free.add(new KeyPlanner.FreeRange(part, released.handover(), preferredHolder(table, grant, part)));
            }
        }
        return free;
    }

    /** A moved range goes to the target of the move. A range whose backend server restarted stays with its instance. */
    private String preferredHolder(KeyTable table, KeyGrant grant, KeyRange part) {
        for (KeyMove move : moves(table.service())) {
            if (move.range().overlaps(part)) {
                return move.to().instance();
            }
        }
        return grant.holder();
    }

    private List<HolderLoad> serving(String service, long nowNs) {
        List<HolderLoad> serving = loads(service, nowNs);
        serving.removeIf(load -> isEvacuated(load.holder())
                || !holders.get(load.holder().instance()).report.serving());
        return serving;
    }

    /** Loads of the holders of a service that have a lease, also of those that do not serve. */
    private List<HolderLoad> loads(String service, long nowNs) {
        List<HolderLoad> loads = new ArrayList<>();
        holders.forEach((instance, state) -> {
            HolderReport report = state.report;
            if (report.service().equals(service) && nowNs < state.leaseEndNs) {
                KeyTable.Holder holder = new KeyTable.Holder(instance, report.run());
                loads.add(new HolderLoad(
                        holder, Math.max(1, report.capacity()), report.load().total()));
            }
        });
        loads.sort((a, b) -> a.holder().instance().compareTo(b.holder().instance()));
        return loads;
    }

    /** Rates of the busiest buckets, only from their present holders: a previous holder still reports the old rate. */
    private KeyRates rates(KeyTable table, long nowNs) {
        KeyRates rates = new KeyRates();
        holders.forEach((instance, state) -> {
            if (state.report.service().equals(table.service()) && nowNs < state.leaseEndNs) {
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
        private long reportedNs;
        private long leaseEndNs;
    }

    /**
     * Proposed table that is not committed yet, with the holders that lose ranges in it. Their leases are not renewed
     * before they have read the table: a holder whose lease expired has not received the change, and one that released
     * the ranges may have restarted without a record of the release.
     */
    private record ProposedTable(Set<String> losingHolders) {}
}
