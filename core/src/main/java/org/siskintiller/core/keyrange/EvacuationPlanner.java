package org.siskintiller.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Distributes the ranges of evacuated holders over the others in proportion to their spare capacity.
 *
 * <p>Load pattern: a third of the holders, all of one zone, is evacuated at full load. {@link KeyPlanner} gives a whole
 * range with a handover token to the holder with the least keys, which had less spare capacity than the load of the
 * range. Ranges are therefore cut before they are released, so that each part has its own token.
 */
public final class EvacuationPlanner {
    private final KeyTable table;
    private final KeyRates rates;
    private final List<Target> targets = new ArrayList<>();
    private final List<KeyMove> moves = new ArrayList<>();

    private EvacuationPlanner(KeyTable table, KeyRates rates) {
        this.table = table;
        this.rates = rates;
    }

    /**
     * Returns moves of all ranges of the evacuated holders.
     *
     * @param present moves of evacuated holders that are not complete; they stay, since their ranges may be released
     * @param targets holders that serve and are not evacuated
     */
    public static List<KeyMove> moves(
            KeyTable table,
            List<HolderLoad> evacuated,
            List<KeyMove> present,
            List<HolderLoad> targets,
            KeyRates rates) {
        if (targets.isEmpty()) {
            return List.of();
        }
        EvacuationPlanner planner = new EvacuationPlanner(table, rates);
        planner.moves.addAll(present);
        planner.plan(evacuated, targets);
        return planner.moves;
    }

    private void plan(List<HolderLoad> evacuated, List<HolderLoad> holders) {
        List<Segment> segments = new ArrayList<>();
        double total = 0;
        for (HolderLoad holder : evacuated) {
            double density = density(holder);
            for (KeyGrant grant : table.heldBy(holder.instance())) {
                for (KeyGrant rest : grant.without(rangesOf(moves))) {
                    segments.add(new Segment(rest.range(), holder.holder(), density));
                    total += weight(rest.range(), density);
                }
            }
        }
        addTargets(holders, total, evacuated);
        segments.sort(Comparator.comparingInt(segment -> segment.range.from()));
        segments.forEach(this::distribute);
    }

    /** Each target gets a share of the load in proportion to its spare capacity, or to its capacity if none has any. */
    private void addTargets(List<HolderLoad> holders, double total, List<HolderLoad> evacuated) {
        double[] spare = new double[holders.size()];
        double spareSum = 0;
        for (int i = 0; i < spare.length; i++) {
            HolderLoad holder = holders.get(i);
            spare[i] = Math.max(0, holder.capacity() - holder.rate() - movingTo(holder, evacuated));
            spareSum += spare[i];
        }
        double capacitySum = holders.stream().mapToDouble(HolderLoad::capacity).sum();
        for (int i = 0; i < spare.length; i++) {
            HolderLoad holder = holders.get(i);
            double share = spareSum > 0 ? spare[i] / spareSum : holder.capacity() / capacitySum;
            targets.add(new Target(holder.holder(), share * total));
        }
    }

    /** Load of the moves to a holder that were decided before. */
    private double movingTo(HolderLoad holder, List<HolderLoad> evacuated) {
        double sum = 0;
        for (KeyMove move : moves) {
            for (HolderLoad from : evacuated) {
                boolean counts =
                        move.to().equals(holder.holder()) && move.from().equals(from.holder());
                sum += counts ? weight(move.range(), density(from)) : 0;
            }
        }
        return sum;
    }

    /** Cuts a range at the borders of buckets and moves each part to the target with the largest remaining share. */
    private void distribute(Segment segment) {
        int from = segment.range.from();
        while (from <= segment.range.to()) {
            Target target = targets.stream()
                    .max(Comparator.comparingDouble(candidate -> candidate.remaining))
                    .orElseThrow();
            int to = bucketEnd(from, segment.range.to());
            double sum = weight(new KeyRange(from, to), segment.density);
            while (to < segment.range.to()) {
                int nextEnd = bucketEnd(to + 1, segment.range.to());
                double next = weight(new KeyRange(to + 1, nextEnd), segment.density);
                if (sum + next > target.remaining) {
                    break;
                }
                sum += next;
                to = nextEnd;
            }
            target.remaining -= sum;
            moves.add(new KeyMove(new KeyRange(from, to), segment.holder, target.holder));
            from = to + 1;
        }
    }

    private static int bucketEnd(int key, int last) {
        return Math.min(last, (key / KeyRates.BUCKET_KEYS + 1) * KeyRates.BUCKET_KEYS - 1);
    }

    /** Requests a second for the range: the rates of its busiest buckets, and the mean of all other keys. */
    private double weight(KeyRange range, double density) {
        return rates.of(range) + density * range.size();
    }

    /** Requests a second for each key of the holder beside its busiest buckets; never 0, so that every range counts. */
    private double density(HolderLoad holder) {
        double busiest = 0;
        for (KeyGrant grant : table.heldBy(holder.instance())) {
            busiest += rates.of(grant.range());
        }
        int keys = Math.max(1, table.keysHeldBy(holder.instance()));
        return Math.max(1e-6, (holder.rate() - busiest) / keys);
    }

    private static List<KeyRange> rangesOf(List<KeyMove> moves) {
        return moves.stream().map(KeyMove::range).toList();
    }

    private record Segment(KeyRange range, KeyTable.Holder holder, double density) {}

    private static final class Target {
        private final KeyTable.Holder holder;
        private double remaining;

        private Target(KeyTable.Holder holder, double remaining) {
            this.holder = holder;
            this.remaining = remaining;
        }
    }
}
