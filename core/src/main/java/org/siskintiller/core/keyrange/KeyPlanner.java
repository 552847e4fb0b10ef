package org.siskintiller.core.keyrange;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Places free ranges and proposes moves away from overloaded holders. */
public final class KeyPlanner {
    /** Utilisation below which no range is moved for balance, since a move costs its keys about a second. */
    private static final double BUSY_UTILISATION = 0.85;
    /** Least difference of utilisation between source and target of a move, against moves back and forth. */
    private static final double LEAST_GAP = 0.3;
    /** A move takes at most this share of the gap, so that the target does not become the busiest. */
    private static final double GAP_SHARE = 0.5;
    /** Most keys of one move for balance: 1/32 of all keys. Hot sets are narrow, and each moved key is served late. */
    private static final int MOST_MOVED_KEYS = 2_048;

    /** Splits free ranges between holders in proportion to their free capacity and returns the new table. */
    public KeyTable place(KeyTable table, List<FreeRange> free, List<HolderLoad> holders, KeyRates rates, long term) {
        if (holders.isEmpty()) {
            return table;
        }
        Map<String, Double> loads = loads(table, holders, rates);
        KeyTable next = table;
        for (FreeRange range : free) {
            if (range.range().size() > MOST_MOVED_KEYS * holders.size()
                    && range.handover().isEmpty()) {
                next = spread(next, range, holders, loads, rates, term);
                continue;
            }
            HolderLoad target = leastLoaded(holders, loads, range.preferred());
            next = next.assign(range.range(), target.holder(), range.handover(), term);
            loads.merge(target.holder().instance(), weight(range.range(), rates), Double::sum);
        }
        return next;
    }

    /** Proposes the most useful move, if any is worth its cost. */
    public Optional<KeyMove> balance(KeyTable table, List<HolderLoad> holders, KeyRates rates) {
        if (holders.size() < 2) {
            return Optional.empty();
        }
        Map<String, Double> loads = requestLoads(table, holders, rates);
        Comparator<HolderLoad> byUtilisation =
                Comparator.comparingDouble(holder -> loads.get(holder.holder().instance()) / holder.capacity());
        HolderLoad busiest = holders.stream().max(byUtilisation).orElseThrow();
        HolderLoad idlest = holders.stream().min(byUtilisation).orElseThrow();
        double busyLoad = loads.get(busiest.holder().instance());
        double idleLoad = loads.get(idlest.holder().instance());
        double gap = busyLoad / busiest.capacity() - idleLoad / idlest.capacity();
        boolean newcomer = table.keysHeldBy(idlest.holder().instance()) == 0;
        if (!newcomer && (busyLoad / busiest.capacity() < BUSY_UTILISATION || gap < LEAST_GAP)) {
            return Optional.empty();
        }
        // Moving x requests a second closes the gap by x / capacity at both ends.
        double wanted = gap / (1 / busiest.capacity() + 1 / idlest.capacity());
        int mostKeys = newcomer ? (KeyRange.MAX_KEY + 1) / holders.size() : MOST_MOVED_KEYS;
        return narrowest(table.heldBy(busiest.holder().instance()), rates, wanted * GAP_SHARE, wanted, mostKeys)
                .map(range -> new KeyMove(range, busiest.holder(), idlest.holder()));
    }

    private KeyTable spread(
            KeyTable table,
            FreeRange free,
            List<HolderLoad> holders,
            Map<String, Double> loads,
            KeyRates rates,
            long term) {
        double capacity = holders.stream().mapToDouble(HolderLoad::capacity).sum();
        double total = weight(free.range(), rates)
                + loads.values().stream().mapToDouble(Double::doubleValue).sum();
        KeyTable next = table;
        int from = free.range().from();
        for (int i = 0; i < holders.size() && from <= free.range().to(); i++) {
            HolderLoad holder = holders.get(i);
            double share = total * holder.capacity() / capacity
                    - loads.get(holder.holder().instance());
            boolean last = i == holders.size() - 1;
            if (share <= 0 && !last) {
                continue;
            }
            int to = last ? free.range().to() : endOfShare(from, free.range().to(), share, rates);
            KeyRange part = new KeyRange(from, to);
            next = next.assign(part, holder.holder(), free.handover(), term);
            loads.merge(holder.holder().instance(), weight(part, rates), Double::sum);
            from = to + 1;
        }
        return next;
    }

    private static int endOfShare(int from, int last, double share, KeyRates rates) {
        double sum = 0;
        int to = from;
        while (to < last) {
            int bucketEnd = Math.min(last, (to / KeyRates.BUCKET_KEYS + 1) * KeyRates.BUCKET_KEYS - 1);
            sum += weight(new KeyRange(to, bucketEnd), rates);
            to = bucketEnd;
            if (sum >= share) {
                return to;
            }
            to = Math.min(last, to + 1);
        }
        return last;
    }

    private static HolderLoad leastLoaded(List<HolderLoad> holders, Map<String, Double> loads, String preferred) {
        HolderLoad best = null;
        double bestLoad = 0;
        for (HolderLoad holder : holders) {
            double load = loads.get(holder.holder().instance()) / holder.capacity();
            if (holder.holder().instance().equals(preferred)) {
                return holder;
            }
            if (best == null || load < bestLoad) {
                best = holder;
                bestLoad = load;
            }
        }
        return best;
    }

    /** Returns the shortest run of whole buckets in one grant with a rate from least to most. */
    private static Optional<KeyRange> narrowest(
            List<KeyGrant> grants, KeyRates rates, double least, double most, int mostKeys) {
        KeyRange best = null;
        for (KeyGrant grant : grants) {
            int first = (grant.range().from() + KeyRates.BUCKET_KEYS - 1) / KeyRates.BUCKET_KEYS;
            int end = (grant.range().to() + 1) / KeyRates.BUCKET_KEYS;
            double sum = 0;
            int start = first;
            for (int bucket = first; bucket < end; bucket++) {
                sum += rates.rate(bucket);
                while (start < bucket && (sum > most || sum - rates.rate(start) >= least)) {
                    sum -= rates.rate(start);
                    start++;
                }
                if (sum < least || sum > most) {
                    continue;
                }
                KeyRange range = new KeyRange(start * KeyRates.BUCKET_KEYS, (bucket + 1) * KeyRates.BUCKET_KEYS - 1);
                if (best == null || range.size() < best.size()) {
                    best = range;
                }
            }
        }
        return best == null || best.size() > mostKeys ? Optional.empty() : Optional.of(best);
    }

    private static Map<String, Double> loads(KeyTable table, List<HolderLoad> holders, KeyRates rates) {
        Map<String, Double> loads = new HashMap<>();
        for (HolderLoad holder : holders) {
            double sum = 0;
            for (KeyGrant grant : table.heldBy(holder.holder().instance())) {
                sum += weight(grant.range(), rates);
            }
            loads.put(holder.holder().instance(), sum);
        }
        return loads;
    }

    private static Map<String, Double> requestLoads(KeyTable table, List<HolderLoad> holders, KeyRates rates) {
        Map<String, Double> loads = new HashMap<>();
        for (HolderLoad holder : holders) {
            double sum = 0;
            for (KeyGrant grant : table.heldBy(holder.holder().instance())) {
                sum += rates.of(grant.range());
            }
            loads.put(holder.holder().instance(), sum);
        }
        return loads;
    }

    /** Weight of a range for placement: its rate, or its size while no rates are known. */
    private static double weight(KeyRange range, KeyRates rates) {
        double total = rates.total();
        double bySize = (double) range.size() / (KeyRange.MAX_KEY + 1);
        // Half by size, so that a range without recent requests still counts.
        return total == 0 ? bySize : 0.5 * bySize + 0.5 * rates.of(range) / total;
    }

    /**
     * Range that nobody holds.
     *
     * @param handover token of the last holder or empty
     * @param preferred instance that should get it, or empty
     */
    public record FreeRange(KeyRange range, String handover, String preferred) {}
}
