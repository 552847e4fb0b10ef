package org.siskintiller.core.keyrange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns free ranges to holders. {@link KeyBalancer} moves ranges that have a holder. */
public final class KeyPlanner {
    /** Number of parts into which a lost holder's fair share is cut, so that the load of no other holder doubles. */
    private static final int PARTS_PER_FAIR_SHARE = 4;

    /** Splits free ranges between holders in proportion to their free capacity and returns the new table. */
    public KeyTable place(KeyTable table, List<FreeRange> free, List<HolderLoad> holders, KeyRates rates, long term) {
        if (holders.isEmpty()) {
            return table;
        }
        Map<String, Double> loads = loads(table, holders, rates);
        KeyTable next = table;
        for (FreeRange range : free) {
            int fairShare = (KeyRange.MAX_KEY + 1) / holders.size();
            if (range.range().size() > fairShare && range.handover().isEmpty()) {
                next = spread(next, range, holders, loads, rates, term);
                continue;
            }
            for (KeyRange part : parts(range, fairShare / PARTS_PER_FAIR_SHARE)) {
                HolderLoad target = leastLoaded(holders, loads, range.preferred());
                next = next.assign(part, target.holder(), range.handover(), term);
                loads.merge(target.holder().instance(), weight(part, rates), Double::sum);
            }
        }
        return next;
    }

    /** Cuts the range of a lost holder. A range with a token stays whole, since one holder takes over its state. */
    private static List<KeyRange> parts(FreeRange free, int maxKeys) {
        if (!free.handover().isEmpty() || !free.preferred().isEmpty()) {
            return List.of(free.range());
        }
        List<KeyRange> parts = new ArrayList<>();
        for (int from = free.range().from(); from <= free.range().to(); from += maxKeys) {
            parts.add(new KeyRange(from, Math.min(free.range().to(), from + maxKeys - 1)));
        }
        return parts;
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

    /** Weight of a range for placement: its rate, or its size while no rates are known. */
    private static double weight(KeyRange range, KeyRates rates) {
        double total = rates.total();
        double bySize = (double) range.size() / (KeyRange.MAX_KEY + 1);
        // Half by size, so that a range without recent requests still counts.
        return total == 0 ? bySize : 0.5 * bySize + 0.5 * rates.of(range) / total;
    }

    /**
     * Range without a holder.
     *
     * @param handover token of the previous holder, or empty
     * @param preferred instance to which the range should be assigned, or empty
     */
    public record FreeRange(KeyRange range, String handover, String preferred) {}
}
