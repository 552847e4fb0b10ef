package org.siskintiller.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.siskintiller.core.keyrange.BalanceMove;
import org.siskintiller.core.keyrange.HolderLoad;
import org.siskintiller.core.keyrange.KeyBalancer;
import org.siskintiller.core.keyrange.KeyLoad;
import org.siskintiller.core.keyrange.KeyMove;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.keyrange.KeyRates;
import org.siskintiller.core.keyrange.KeyTable;

/**
 * Moves of keys that balance the load of one service.
 *
 * <p>Load pattern: other keys become hot every 4 to 5 s, and a move takes 0.3 to 0.8 s. The reports show its effect
 * after another 0.4 to 0.8 s. Waiting for both before the next decision left holders overloaded for half of the time. The
 * loads are therefore projected: the rate of a moved range counts at its new holder from the decision on, and the next
 * moves need not wait for the ones before.
 */
final class BalanceMoves {
    /** Interval between two checks of the balance. */
    private static final long INTERVAL_NS = 100_000_000L;
    /** Time after which a move that its holder has not completed is cancelled. */
    private static final long TIMEOUT_NS = 5_000_000_000L;
    /** Time in which a moved range stays with its new holder, so that its load there is known before the next move. */
    private static final long SETTLING_NS = 1_200_000_000L;
    /** A report this much later than a move shows its effect: one renewal interval and one interval of the rates. */
    private static final long REPORT_DELAY_NS = 2 * LeaseTiming.RENEWAL_INTERVAL_NS;

    /** Utilisation above which a holder's queue grows beyond what an objective of three service times permits. */
    private static final double FULL_UTILISATION = 0.95;
    /**
     * Load above this utilisation, in seconds of the holder's capacity, from which keys move. Less is noise of arrivals:
     * without this limit a replay of 26 evenly loaded holders moved 250 keys a second.
     */
    private static final double MIN_EXCESS_SECONDS = 0.2;

    private final List<Entry> entries = new ArrayList<>();
    private final Map<String, Excess> excesses = new HashMap<>();
    private long nextNs = Long.MIN_VALUE;

    static boolean isComplete(KeyMove move, KeyTable table) {
        return table.grantOf(move.range().from())
                .filter(grant -> grant.holder().equals(move.from().instance()))
                .isEmpty();
    }

    /** Moves that are not complete. */
    List<KeyMove> open() {
        return entries.stream()
                .filter(entry -> entry.isOpen)
                .map(entry -> entry.planned.move())
                .toList();
    }

    void cancel(Predicate<KeyMove> condition) {
        entries.removeIf(entry -> condition.test(entry.planned.move()));
    }

    /** Updates which moves are complete and drops those that are too old. */
    void update(KeyTable table, long nowNs) {
        for (Entry entry : entries) {
            if (entry.isOpen && isComplete(entry.planned.move(), table)) {
                entry.isOpen = false;
                entry.sinceNs = nowNs;
            }
        }
        entries.removeIf(entry -> nowNs - entry.sinceNs >= (entry.isOpen ? TIMEOUT_NS : SETTLING_NS));
    }

    /** Ends the wait for the next check, since a holder has reported more load than it can serve. */
    void planAtOnce() {
        nextNs = Long.MIN_VALUE;
    }

    boolean isDue(long nowNs) {
        return nowNs >= nextNs;
    }

    void plan(KeyTable table, List<HolderLoad> serving, Map<String, Report> reports, KeyRates rates, long nowNs) {
        nextNs = nowNs + INTERVAL_NS;
        List<HolderLoad> projected = new ArrayList<>();
        for (HolderLoad load : serving) {
            projected.add(project(load, reports.get(load.holder().instance())));
        }
        excesses.keySet().retainAll(reports.keySet());
        Set<String> busy = new HashSet<>();
        for (HolderLoad load : projected) {
            String instance = load.holder().instance();
            Excess excess = excesses.computeIfAbsent(instance, name -> new Excess());
            excess.reported(load.rate() / load.capacity(), reports.get(instance).receivedNs);
            if (excess.seconds >= MIN_EXCESS_SECONDS) {
                busy.add(instance);
            }
        }
        List<BalanceMove> present = entries.stream().map(entry -> entry.planned).toList();
        for (BalanceMove move : KeyBalancer.balance(table, projected, rates, present, busy)) {
            entries.add(new Entry(move, nowNs));
            excesses.get(move.move().from().instance()).seconds = 0;
        }
    }

    /** Load of a holder when all moves are complete. */
    private HolderLoad project(HolderLoad load, Report report) {
        double rate = load.rate();
        for (Entry entry : entries) {
            KeyMove move = entry.planned.move();
            boolean isShown = !entry.isOpen && report.receivedNs - entry.sinceNs >= REPORT_DELAY_NS;
            double reported = Math.min(entry.planned.rate(), report.rateOf(move.range()));
            if (isShown) {
                continue;
            }
            if (move.from().equals(load.holder())) {
                boolean isBefore = entry.isOpen || report.receivedNs <= entry.sinceNs;
                rate -= isBefore ? entry.planned.rate() : reported;
            } else if (move.to().equals(load.holder())) {
                rate += entry.planned.rate() - reported;
            }
        }
        return new HolderLoad(load.holder(), load.capacity(), Math.max(0, rate));
    }

    /** Load that a holder reported. */
    record Report(KeyLoad load, long receivedNs) {
        private double rateOf(KeyRange range) {
            double sum = 0;
            for (Map.Entry<Integer, Double> bucket : load.buckets().entrySet()) {
                sum += range.contains(bucket.getKey() * KeyRates.BUCKET_KEYS) ? bucket.getValue() : 0;
            }
            return sum;
        }
    }

    /** Load that a holder has had beyond what it can serve, since it was last relieved. */
    private static final class Excess {
        private double seconds;
        private long reportedNs = Long.MIN_VALUE;

        private void reported(double utilisation, long receivedNs) {
            long elapsedNs = reportedNs == Long.MIN_VALUE ? 0 : receivedNs - reportedNs;
            reportedNs = receivedNs;
            // Reports that are missing say nothing about the load meanwhile.
            double elapsed = Math.min(elapsedNs, LeaseTiming.RENEWAL_INTERVAL_NS) / 1e9;
            seconds = Math.max(0, seconds + (utilisation - FULL_UTILISATION) * elapsed);
        }
    }

    private static final class Entry {
        private final BalanceMove planned;
        private boolean isOpen = true;
        /** Time of the decision, or of the completion. */
        private long sinceNs;

        private Entry(BalanceMove planned, long nowNs) {
            this.planned = planned;
            this.sinceNs = nowNs;
        }
    }
}
