package org.siskintiller.core.keyrange;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Request rate of each bucket of neighbouring keys, as a moving mean. */
public final class KeyRates {
    /** Keys of one bucket. A hot set of only 60 keys may exceed one backend server, so that it must be split. */
    public static final int BUCKET_KEYS = 4;

    public static final int BUCKETS = (KeyRange.MAX_KEY + 1) / BUCKET_KEYS;

    /** Weight of the newest interval in the mean. It is high, since the hot set changes within seconds. */
    private static final double NEWEST_WEIGHT = 0.5;

    private final double[] rates = new double[BUCKETS];
    private final int[] counts = new int[BUCKETS];
    private long intervalStartNs = Long.MIN_VALUE;
    private double total;

    public void count(int key) {
        counts[key / BUCKET_KEYS]++;
    }

    /** Ends the counting interval and updates the rates. */
    public void endInterval(long nowNs) {
        if (intervalStartNs != Long.MIN_VALUE && nowNs > intervalStartNs) {
            double seconds = (nowNs - intervalStartNs) / 1e9;
            total = 0;
            for (int bucket = 0; bucket < BUCKETS; bucket++) {
                rates[bucket] += NEWEST_WEIGHT * (counts[bucket] / seconds - rates[bucket]);
                total += rates[bucket];
            }
        }
        Arrays.fill(counts, 0);
        intervalStartNs = nowNs;
    }

    public void set(int bucket, double rate) {
        total += rate - rates[bucket];
        rates[bucket] = rate;
    }

    public double rate(int bucket) {
        return rates[bucket];
    }

    public double total() {
        return total;
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

    /** Returns the total rate and the rates of the busiest buckets that reach the minimum rate. */
    public KeyLoad load(int maxBuckets, double minRate) {
        List<Integer> busy = new ArrayList<>();
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (rates[bucket] >= minRate) {
                busy.add(bucket);
            }
        }
        busy.sort((a, b) -> Double.compare(rates[b], rates[a]));
        Map<Integer, Double> busiest = new HashMap<>();
        for (int bucket : busy.subList(0, Math.min(maxBuckets, busy.size()))) {
            busiest.put(bucket, rates[bucket]);
        }
        return new KeyLoad(total, busiest);
    }

    static KeyRange keysOf(int firstBucket, int lastBucket) {
        return new KeyRange(firstBucket * BUCKET_KEYS, (lastBucket + 1) * BUCKET_KEYS - 1);
    }
}
