package org.siskintiller.core.keyrange;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Searches the buckets of a range for the part whose load is worth most in comparison to its number of keys. */
final class KeyRangeSearch {
    private final int first;
    private final int maxBuckets;
    /** Rate of the first buckets of the range, for each number of them. */
    private final double[] rateSums;
    /** The same less the cost of their keys. */
    private final double[] worthSums;

    private double worth;

    /**
     * Prepares a search.
     *
     * @param range keys of whole buckets
     * @param bucketRate requests a second of each bucket beside its own rate
     * @param keyCost requests a second that a key costs
     */
    KeyRangeSearch(KeyRange range, KeyRates rates, double bucketRate, double keyCost, int maxKeys) {
        first = range.from() / KeyRates.BUCKET_KEYS;
        maxBuckets = maxKeys / KeyRates.BUCKET_KEYS;
        int buckets = range.size() / KeyRates.BUCKET_KEYS;
        rateSums = new double[buckets + 1];
        worthSums = new double[buckets + 1];
        for (int i = 0; i < buckets; i++) {
            double rate = rates.rate(first + i) + bucketRate;
            rateSums[i + 1] = rateSums[i] + rate;
            worthSums[i + 1] = worthSums[i] + rate - keyCost * KeyRates.BUCKET_KEYS;
        }
    }

    /** Returns the part with the highest worth among those with at least the minimum and at most the maximum rate. */
    Optional<KeyRange> mostWorth(double maxRate, double minRate) {
        KeyRange best = null;
        // Starts in increasing order of their worth sums. The first one is the best start for the present end.
        Deque<Integer> starts = new ArrayDeque<>();
        worth = 0;
        for (int end = 1; end < rateSums.length; end++) {
            while (!starts.isEmpty() && worthSums[starts.getLast()] >= worthSums[end - 1]) {
                starts.removeLast();
            }
            starts.addLast(end - 1);
            while (!starts.isEmpty()
                    && (rateSums[end] - rateSums[starts.getFirst()] > maxRate
                            || end - starts.getFirst() > maxBuckets)) {
                starts.removeFirst();
            }
            if (starts.isEmpty()) {
                continue;
            }
            int start = starts.getFirst();
            double found = worthSums[end] - worthSums[start];
            if (found > worth && rateSums[end] - rateSums[start] >= minRate) {
                worth = found;
                best = KeyRates.keysOf(first + start, first + end - 1);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Requests a second of the range that was found, less the cost of its keys. */
    double worth() {
        return worth;
    }
}
