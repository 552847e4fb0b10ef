package org.siskintiller.core.keyrange;

import java.util.Arrays;

/** Request rate of each bucket of neighbouring keys, as a moving mean. */
public final class KeyRates {
    /** Keys of one bucket. A hot set spans a few hundred neighbouring keys, so it covers several buckets. */
    public static final int BUCKET_KEYS = 32;

    public static final int BUCKETS = (KeyRange.MAX_KEY + 1) / BUCKET_KEYS;

    /** Weight of the newest interval. The hot set changes within seconds. */
    private static final double NEWEST_WEIGHT = 0.5;

    private final double[] rates = new double[BUCKETS];
    private final int[] counts = new int[BUCKETS];
    private long intervalStartNs = Long.MIN_VALUE;

    public void count(int key) {
        counts[key / BUCKET_KEYS]++;
    }

    /** Ends the counting interval and updates the rates. */
    public void endInterval(long nowNs) {
        if (intervalStartNs != Long.MIN_VALUE && nowNs > intervalStartNs) {
            double seconds = (nowNs - intervalStartNs) / 1e9;
            for (int bucket = 0; bucket < BUCKETS; bucket++) {
                rates[bucket] += NEWEST_WEIGHT * (counts[bucket] / seconds - rates[bucket]);
            }
        }
        Arrays.fill(counts, 0);
        intervalStartNs = nowNs;
    }

    public void set(int bucket, double rate) {
        rates[bucket] = rate;
    }

    public void clear() {
        Arrays.fill(rates, 0);
    }

    public double rate(int bucket) {
        return rates[bucket];
    }

    public double total() {
        double sum = 0;
        for (double rate : rates) {
            sum += rate;
        }
        return sum;
    }

    /** Rate of the buckets that begin in the range. */
    public double of(KeyRange range) {
        double sum = 0;
        int first = (range.from() + BUCKET_KEYS - 1) / BUCKET_KEYS;
        for (int bucket = first; bucket * BUCKET_KEYS <= range.to(); bucket++) {
            sum += rates[bucket];
        }
        return sum;
    }
}
