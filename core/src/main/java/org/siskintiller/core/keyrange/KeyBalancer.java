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
 * <p>Load pattern: some dozens to some hundreds of neighbouring keys suddenly receive a third of all requests, which is
 * more than one backend server can serve, and other keys replace them after some seconds. The busy part of the other
 * keys is also close together. The keys of an overloaded holder are therefore split between several others in one
 * round. A round moves as few keys as possible, since each moved key is unserved for a moment.
 */
public final class KeyBalancer {
    /** Utilisation above which keys are moved away from a holder. Above it, requests queue noticeably. */
    private static final double BUSY_UTILISATION = 0.95;
    /** Utilisation to which a busy holder is relieved at least, if others have room. */
    private static final double RELIEVED_UTILISATION = 0.85;
    /** Utilisation above which a holder certainly refuses requests, so that moves of many keys are worth their cost. */
    private static final double OVERLOADED_UTILISATION = 1.1;
    /** Utilisation up to which moves fill a holder, so that the jitter of arrivals does not make it busy again. */
    private static final double TARGET_UTILISATION = 0.7;
    /** Distance from the mean of all holders up to which moves fill a holder while the mean is high. */
    private static final double ABOVE_MEAN = 0.1;
    /** Minimum difference of utilisation between source and target of a move. It prevents moves back and forth. */
    private static final double MIN_UTILISATION_GAP = 0.2;
    /** Maximum number of moves in one round. */
    private static final int MAX_MOVES = 12;
    /** Maximum number of keys in one move: 1/32 of all keys. */
    private static final int MAX_KEYS = 2_048;
    /** Minimum load of a move as a share of the source's capacity, since moved keys are unserved meanwhile. */
    private static final double MIN_SHARE = 0.05;
    /** Number of keys for which a move must relieve its source of the whole wanted load to be worth anything. */
    private static final int COSTLY_KEYS = 1_024;

    private final KeyTable table;
    private final List<HolderLoad> holders;
    private final KeyRates rates;
    private final List<BalanceMove> present;
    private final Map<String, Double> loads = new HashMap<>();
    private final Map<String, Double> densities = new HashMap<>();
    private final List<BalanceMove> moves = new ArrayList<>();

    private KeyBalancer(KeyTable table, List<HolderLoad> holders, KeyRates rates, List<BalanceMove> present) {
        this.table = table;
        this.holders = holders;
        this.rates = rates;
        this.present = present;
        holders.forEach(holder -> loads.put(holder.instance(), holder.rate()));
        holders.forEach(holder -> densities.put(holder.instance(), density(holder)));
    }

    /**
     * Returns the moves of one round, or none if no move is worth its cost.
     *
     * @param holders holders that serve, with the loads that they have when the present moves are complete
     * @param rates rates of the busiest buckets
     * @param present moves that are not complete or that the rates do not show yet; their keys stay where they go
     * @param busy instances of the holders that have had too much load for long enough
     */
    public static List<BalanceMove> balance(
            KeyTable table, List<HolderLoad> holders, KeyRates rates, List<BalanceMove> present, Set<String> busy) {
        if (holders.size() < 2) {
            return List.of();
        }
        KeyBalancer balancer = new KeyBalancer(table, holders, rates, present);
        balancer.moveToEmptyHolders();
        balancer.relieveBusyHolders(busy);
        return balancer.moves;
    }

    /** Moves the end of the largest range to each holder without keys. */
    private void moveToEmptyHolders() {
        int share = (KeyRange.MAX_KEY + 1) / holders.size();
        for (HolderLoad target : holders) {
            boolean getsKeys =
                    present.stream().anyMatch(move -> move.move().to().equals(target.holder()));
            if (getsKeys || table.keysHeldBy(target.instance()) > 0) {
                continue;
            }
            largestGrant().ifPresent(grant -> {
                int keys = Math.min(share, grant.range().size() / 2);
                holder(grant.holder()).ifPresent(from -> moveEnd(grant, keys, from, target));
            });
        }
    }

    /** Moves the last keys of a grant, as many as the target can serve: a cold one has a small capacity. */
    private void moveEnd(KeyGrant grant, int maxKeys, HolderLoad from, HolderLoad target) {
        int keys = maxKeys;
        KeyRange range;
        double rate;
        do {
            range = new KeyRange(grant.range().to() - keys + 1, grant.range().to());
            rate = weight(from, range);
            keys /= 2;
        } while (keys > 0 && rate > TARGET_UTILISATION * target.capacity());
        add(range, from, target, rate);
    }

    private Optional<KeyGrant> largestGrant() {
        return table.grants().stream()
                .filter(grant -> holder(grant.holder()).isPresent())
                .filter(grant -> grant.range().size() > 1 && isUnmoved(grant.range()))
                .max(Comparator.comparingInt(grant -> grant.range().size()));
    }

    private void relieveBusyHolders(Set<String> busy) {
        double load = loads.values().stream().mapToDouble(Double::doubleValue).sum();
        double capacity = holders.stream().mapToDouble(HolderLoad::capacity).sum();
        // A holder filled beyond its capacity would refuse what it takes over.
        double level = Math.min(1, Math.max(TARGET_UTILISATION, load / capacity + ABOVE_MEAN));
        double busyLevel = Math.max(BUSY_UTILISATION, level + MIN_UTILISATION_GAP / 2);
        Set<String> skipped = new HashSet<>();
        while (moves.size() < MAX_MOVES) {
            HolderLoad busiest = holders.stream()
                    .filter(holder -> busy.contains(holder.instance()) && !skipped.contains(holder.instance()))
                    .max(Comparator.comparingDouble(this::utilisation))
                    .orElse(null);
            if (busiest == null || utilisation(busiest) < busyLevel) {
                return;
            }
            skipped.add(busiest.instance());
            boolean isRelieved = true;
            while (isRelieved && moves.size() < MAX_MOVES && utilisation(busiest) >= RELIEVED_UTILISATION) {
                isRelieved = relieve(busiest, level);
            }
        }
    }

    /** Moves one range away from the holder. Returns false if no range can be moved. */
    private boolean relieve(HolderLoad busy, double level) {
        HolderLoad target = holders.stream()
                .max(Comparator.comparingDouble(holder -> spareRate(holder, level)))
                .orElseThrow();
        if (utilisation(busy) - utilisation(target) < MIN_UTILISATION_GAP) {
            return false;
        }
        double wantedRate = Math.min(-spareRate(busy, level), spareRate(target, level));
        if (wantedRate < MIN_SHARE * busy.capacity()) {
            return false;
        }
        Optional<KeyRange> range = rangeOf(busy, wantedRate, wantedRate / COSTLY_KEYS);
        if (range.isEmpty() && utilisation(busy) >= OVERLOADED_UTILISATION && !isRelieved(busy)) {
            // The load is spread over many keys, or comes from one key that no holder has room for.
            range = rangeOf(busy, wantedRate, 0);
        }
        range.ifPresent(keys -> add(keys, busy, target, weight(busy, keys)));
        return range.isPresent();
    }

    /** Whether keys move away from a holder at present. */
    private boolean isRelieved(HolderLoad holder) {
        return moves.stream().anyMatch(move -> move.move().from().equals(holder.holder()))
                || present.stream().anyMatch(move -> move.move().from().equals(holder.holder()));
    }

    /** Returns the range whose load, up to the wanted rate, is worth most in comparison to its number of keys. */
    private Optional<KeyRange> rangeOf(HolderLoad holder, double wantedRate, double keyCost) {
        double bucketRate = densities.get(holder.instance()) * KeyRates.BUCKET_KEYS;
        KeyRange best = null;
        double bestWorth = 0;
        for (KeyRange free : freeRanges(holder)) {
            KeyRangeSearch search = new KeyRangeSearch(free, rates, bucketRate, keyCost, MAX_KEYS);
            Optional<KeyRange> range = search.mostWorth(wantedRate, MIN_SHARE * holder.capacity());
            if (range.isPresent() && search.worth() > bestWorth) {
                best = range.get();
                bestWorth = search.worth();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Keys of a holder that no move contains, cut to whole buckets. */
    private List<KeyRange> freeRanges(HolderLoad holder) {
        List<KeyRange> moving = new ArrayList<>();
        present.forEach(move -> moving.add(move.range()));
        moves.forEach(move -> moving.add(move.range()));
        List<KeyRange> free = new ArrayList<>();
        for (KeyGrant grant : table.heldBy(holder.instance())) {
            for (KeyGrant rest : grant.without(moving)) {
                int first = (rest.range().from() + KeyRates.BUCKET_KEYS - 1) / KeyRates.BUCKET_KEYS;
                int last = (rest.range().to() + 1) / KeyRates.BUCKET_KEYS - 1;
                if (first <= last) {
                    free.add(KeyRates.keysOf(first, last));
                }
            }
        }
        return free;
    }

    private void add(KeyRange range, HolderLoad from, HolderLoad to, double rate) {
        loads.merge(from.instance(), -rate, Double::sum);
        loads.merge(to.instance(), rate, Double::sum);
        moves.add(new BalanceMove(new KeyMove(range, from.holder(), to.holder()), rate));
    }

    private boolean isUnmoved(KeyRange range) {
        return moves.stream().noneMatch(move -> move.range().overlaps(range))
                && present.stream().noneMatch(move -> move.range().overlaps(range));
    }

    private Optional<HolderLoad> holder(String instance) {
        return holders.stream()
                .filter(holder -> holder.instance().equals(instance))
                .findFirst();
    }

    private double utilisation(HolderLoad holder) {
        return loads.get(holder.instance()) / holder.capacity();
    }

    private double spareRate(HolderLoad holder, double level) {
        return level * holder.capacity() - loads.get(holder.instance());
    }

    private double weight(HolderLoad holder, KeyRange range) {
        return rates.of(range) + densities.get(holder.instance()) * range.size();
    }

    /** Requests a second for each key that is in no reported bucket, beside those of present moves. */
    private double density(HolderLoad holder) {
        double rest = holder.rate();
        for (BalanceMove move : present) {
            rest -= move.move().to().equals(holder.holder()) ? move.rate() : 0;
        }
        int keys = 0;
        for (KeyRange range : freeRanges(holder)) {
            rest -= rates.of(range);
            keys += range.size();
        }
        return keys == 0 ? 0 : Math.max(0, rest) / keys;
    }
}
