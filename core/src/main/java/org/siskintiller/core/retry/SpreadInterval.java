package org.siskintiller.core.retry;

/**
 * Interval between the attempts of an action that is repeated until it succeeds. Each one differs from the mean at random.
 *
 * <p>Load pattern: a disturbance makes all companions of a fleet begin at the same time. With a fixed interval they would
 * repeat together, and each time more appends would wait at the store than it takes.
 */
public final class SpreadInterval {
    /** Maximum difference from the mean, as a share of it. */
    private static final double SPREAD = 0.25;

    private final long meanNs;
    private long dueNs = Long.MIN_VALUE;

    public SpreadInterval(long meanNs) {
        if (meanNs < 1) {
            throw new IllegalArgumentException("the interval must be positive: " + meanNs + " ns");
        }
        this.meanNs = meanNs;
    }

    /** Whether the interval since the last attempt is over. The first attempt is due at once. */
    public boolean isDue(long nowNs) {
        return nowNs >= dueNs;
    }

    /**
     * Records an attempt.
     *
     * @param random value from 0 to 1
     */
    public void attempted(long nowNs, double random) {
        dueNs = nowNs + Math.round(meanNs * (1 + SPREAD * (2 * random - 1)));
    }
}
