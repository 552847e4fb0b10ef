package org.siskintiller.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Proposes moves of keys away from overloaded holders and to new ones.
 *
 * <p>Load pattern: a few dozen to some hundred neighbouring keys suddenly get a third of all requests, more than one
 * backend server can take, and give way to others after some seconds. The hot keys are therefore split between several
 * holders in one round, in the fewest keys, since each moved key is unserved for a moment.
 */
public final class KeyBalancer {
    /** Utilisation above which a holder gives keys away. Requests queue noticeably from here on. */
    private static final double BUSY_UTILISATION = 0.85;
    /** Utilisation up to which a holder is filled by moves, so that the jitter of arrivals makes it no source. */
    private static final double TARGET_UTILISATION = 0.7;
    /** Least difference of utilisation between source and target of a move, against moves back and forth. */
    private static final double LEAST_GAP = 0.2;
    /** Moves of one round. */
    private static final int MOST_MOVES = 12;
    /** Most keys of one move without hot keys: 1/32 of all keys. */
    private static final int MOST_COLD_KEYS = 2_048;
    /** Least relief of a move without hot keys, as a share of the holder's capacity. Its keys are unserved meanwhile. */
    private static final double LEAST_COLD_SHARE = 0.02;
    /** Buckets without a known rate that a move takes along, so that a hot set with gaps stays one range. */
    private static final int MOST_GAP_BUCKETS = 8;

    private final KeyTable table;
    private final List<HolderLoad> holders;
    private final KeyRates rates;
    private final Map<String, Double> loads = new HashMap<>();
    private final List<KeyMove> moves = new ArrayList<>();

    private KeyBalancer(KeyTable table, List<HolderLoad> holders, KeyRates rates) {
        this.table = table;
        this.holders = holders;
        this.rates = rates;
        holders.forEach(holder -> loads.put(holder.instance(), holder.rate()));
    }

    /**
     * Returns the moves of one round, none if nothing is worth its cost.
     *
     * @param holders all that serve
     * @param rates rates of the busiest buckets
     */
    public static List<KeyMove> balance(KeyTable table, List<HolderLoad> holders, KeyRates rates) {
        if (holders.size() < 2) {
            return List.of();
        }
        KeyBalancer balancer = new KeyBalancer(table, holders, rates);
        balancer.supplyNewcomers();
        balancer.relieveBusyHolders();
        return balancer.moves;
    }

    /** A holder without keys gets the end of the largest range. */
    private void supplyNewcomers() {
        int share = (KeyRange.MAX_KEY + 1) / holders.size();
        for (HolderLoad newcomer : holders) {
            if (table.keysHeldBy(newcomer.instance()) > 0) {
                continue;
            }
            largestGrant().ifPresent(grant -> {
                int keys = Math.min(share, grant.range().size() / 2);
                KeyRange range = new KeyRange(
                        grant.range().to() - keys + 1, grant.range().to());
                holder(grant.holder()).ifPresent(from -> add(range, from, newcomer, density(from) * keys));
            });
        }
    }

    private Optional<KeyGrant> largestGrant() {
        return table.grants().stream()
                .filter(grant -> holder(grant.holder()).isPresent())
                .filter(grant -> grant.range().size() > 1 && isUnmoved(grant.range()))
                .max(Comparator.comparingInt(grant -> grant.range().size()));
    }

    private void relieveBusyHolders() {
        Set<String> settled = new HashSet<>();
        while (moves.size() < MOST_MOVES) {
            HolderLoad busiest = holders.stream()
                    .filter(holder -> !settled.contains(holder.instance()))
                    .max(Comparator.comparingDouble(this::utilisation))
                    .orElse(null);
            if (busiest == null || utilisation(busiest) < BUSY_UTILISATION) {
                return;
            }
            if (!relieve(busiest)) {
                settled.add(busiest.instance());
            }
        }
    }

    /** Moves one range away from the holder. Returns false if none fits anywhere. */
    private boolean relieve(HolderLoad busy) {
        HolderLoad idlest = holders.stream()
                .min(Comparator.comparingDouble(this::utilisation))
                .orElseThrow();
        if (utilisation(busy) - utilisation(idlest) < LEAST_GAP) {
            return false;
        }
        double excess = load(busy) - TARGET_UTILISATION * busy.capacity();
        double room = TARGET_UTILISATION * idlest.capacity() - load(idlest);
        double wanted = Math.min(excess, room);
        if (wanted <= 0) {
            return false;
        }
        Optional<KeyRange> hot = busiestRange(busy, wanted);
        if (hot.isPresent()) {
            add(hot.get(), busy, idlest, rates.of(hot.get()));
            return true;
        }
        // What is left may be a single key that exceeds the room anywhere. Its holder gives other keys away.
        double density = density(busy);
        int keys = density <= 0 ? 0 : (int) Math.min(MOST_COLD_KEYS, wanted / density);
        Optional<KeyRange> cold =
                coldRange(busy, keys).filter(range -> density * range.size() >= LEAST_COLD_SHARE * busy.capacity());
        cold.ifPresent(range -> add(range, busy, idlest, density * range.size()));
        return cold.isPresent();
    }

    /** Returns the run of neighbouring hot buckets with the highest rate up to the wanted one. */
    private Optional<KeyRange> busiestRange(HolderLoad holder, double wanted) {
        KeyRange best = null;
        double bestRate = 0;
        for (KeyGrant grant : table.heldBy(holder.instance())) {
            List<Integer> run = new ArrayList<>();
            double sum = 0;
            for (int bucket : hotBuckets(grant)) {
                if (!run.isEmpty() && bucket - run.get(run.size() - 1) > MOST_GAP_BUCKETS) {
                    run.clear();
                    sum = 0;
                }
                run.add(bucket);
                sum += rates.rate(bucket);
                while (sum > wanted && !run.isEmpty()) {
                    sum -= rates.rate(run.remove(0));
                }
                if (!run.isEmpty() && sum > bestRate) {
                    bestRate = sum;
                    best = KeyRates.keysOf(run.get(0), bucket);
                }
            }
        }
        return Optional.ofNullable(best).filter(this::isUnmoved);
    }

    private List<Integer> hotBuckets(KeyGrant grant) {
        List<Integer> hot = new ArrayList<>();
        int first = (grant.range().from() + KeyRates.BUCKET_KEYS - 1) / KeyRates.BUCKET_KEYS;
        int end = (grant.range().to() + 1) / KeyRates.BUCKET_KEYS;
        for (int bucket = first; bucket < end; bucket++) {
            if (rates.rate(bucket) > 0 && isUnmoved(KeyRates.keysOf(bucket, bucket))) {
                hot.add(bucket);
            }
        }
        return hot;
    }

    /** Returns the longest run of neighbouring buckets without a hot one, up to the wanted number of keys. */
    private Optional<KeyRange> coldRange(HolderLoad holder, int mostKeys) {
        int mostBuckets = mostKeys / KeyRates.BUCKET_KEYS;
        KeyRange best = null;
        for (KeyGrant grant : table.heldBy(holder.instance())) {
            int start = (grant.range().from() + KeyRates.BUCKET_KEYS - 1) / KeyRates.BUCKET_KEYS;
            int end = (grant.range().to() + 1) / KeyRates.BUCKET_KEYS;
            for (int bucket = start; bucket < end && bucket - start < mostBuckets; bucket++) {
                KeyRange run = KeyRates.keysOf(start, bucket);
                if (rates.rate(bucket) > 0 || !isUnmoved(KeyRates.keysOf(bucket, bucket))) {
                    start = bucket + 1;
                } else if (best == null || run.size() > best.size()) {
                    best = run;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private void add(KeyRange range, HolderLoad from, HolderLoad to, double rate) {
        loads.merge(from.instance(), -rate, Double::sum);
        loads.merge(to.instance(), rate, Double::sum);
        moves.add(new KeyMove(range, from.holder(), to.holder()));
    }

    private boolean isUnmoved(KeyRange range) {
        return moves.stream().noneMatch(move -> move.range().overlaps(range));
    }

    private Optional<HolderLoad> holder(String instance) {
        return holders.stream().filter(each -> each.instance().equals(instance)).findFirst();
    }

    private double load(HolderLoad holder) {
        return loads.get(holder.instance());
    }

    private double utilisation(HolderLoad holder) {
        return load(holder) / holder.capacity();
    }

    /** Requests a second for each key that is in no hot bucket. */
    private double density(HolderLoad holder) {
        double hot = 0;
        int keys = 0;
        for (KeyGrant grant : table.heldBy(holder.instance())) {
            hot += rates.of(grant.range());
            keys += grant.range().size();
        }
        return keys == 0 ? 0 : Math.max(0, holder.rate() - hot) / keys;
    }
}
