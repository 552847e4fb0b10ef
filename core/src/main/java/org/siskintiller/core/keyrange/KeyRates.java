package org.siskintiller.core.keyrange;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Request rate of each bucket of neighbouring keys, as a moving mean.
 *
 * <p>Load pattern: a hot set of some dozens of neighbouring keys appears or vanishes within a moment. Its buckets have too
 * few requests in one interval to tell a change from noise, but {@value #SEGMENT_BUCKETS} neighbouring ones together have
 * enough. After a change the mean of these buckets starts anew.
 */
public final class KeyRates {
    /** Keys of one bucket. A hot set of only 60 keys may exceed one backend server, so that it must be split. */
    public static final int BUCKET_KEYS = 4;

    public static final int BUCKETS = (KeyRange.MAX_KEY + 1) / BUCKET_KEYS;

    /** Buckets in which a change of the rate is detected together: the keys of a hot set of usual size. */
    private static final int SEGMENT_BUCKETS = 32;
    /** Time constant of the mean without a change: with 20 requests a second its standard deviation is 14%. */
    private static final double MEAN_SECONDS = 1.2;
    /** Minimum duration of an interval: in a shorter one a few requests would count as a change. */
    private static final long MIN_INTERVAL_NS = 150_000_000L;
    /** Standard deviations of a Poisson count from which the rate counts as changed. */
    private static final double CHANGE_DEVIATIONS = 3;

    private final double[] rates = new double[BUCKETS];
    private final int[] counts = new int[BUCKETS];
    /** Seconds since the last change of each segment. */
    private final double[] stableSeconds = new double[BUCKETS / SEGMENT_BUCKETS];

    private long intervalStartNs = Long.MIN_VALUE;
    private double total;

    public void count(int key) {
        counts[key / BUCKET_KEYS]++;
    }

    /** Ends the counting interval and updates the rates. Does nothing while the interval is too short. */
    public void endInterval(long nowNs) {
        if (intervalStartNs == Long.MIN_VALUE) {
            Arrays.fill(counts, 0);
            intervalStartNs = nowNs;
            return;
        }
        if (nowNs - intervalStartNs < MIN_INTERVAL_NS) {
            return;
        }
        double seconds = (nowNs - intervalStartNs) / 1e9;
        total = 0;
        for (int segment = 0; segment < stableSeconds.length; segment++) {
            endInterval(segment, seconds);
        }
        Arrays.fill(counts, 0);
        intervalStartNs = nowNs;
    }

    private void endInterval(int segment, double seconds) {
        int first = segment * SEGMENT_BUCKETS;
        double expected = 0;
        int counted = 0;
        for (int bucket = first; bucket < first + SEGMENT_BUCKETS; bucket++) {
            expected += rates[bucket] * seconds;
            counted += counts[bucket];
        }
        boolean isChanged = Math.abs(counted - expected) > CHANGE_DEVIATIONS * Math.sqrt(Math.max(1, expected));
        stableSeconds[segment] = seconds + (isChanged ? 0 : stableSeconds[segment]);
        double weight = Math.max(seconds / stableSeconds[segment], 1 - Math.exp(-seconds / MEAN_SECONDS));
        for (int bucket = first; bucket < first + SEGMENT_BUCKETS; bucket++) {
            rates[bucket] += weight * (counts[bucket] / seconds - rates[bucket]);
            total += rates[bucket];
        }
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
