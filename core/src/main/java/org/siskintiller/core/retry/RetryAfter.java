package org.siskintiller.core.retry;

/** Computes the time after which a refused caller should retry. */
public final class RetryAfter {
    private static final double MIN_WAIT_MS = 50;
    /**
     * Minimum wait as a share of the caller's remaining time. An overload lasts longer than a request, so a caller that
     * retries sooner is mostly refused again. Callers wait for at most a third; with the random part the wait stays
     * below that.
     */
    private static final double MIN_SHARE_OF_REMAINING = 0.23;
    /** Maximum random part of the wait, so that callers that were refused together do not retry together. */
    private static final double MAX_JITTER_SHARE = 0.4;

    private RetryAfter() {}

    /**
     * Returns the time to wait in milliseconds.
     *
     * @param expectedMs time after which the refusing companion expects free capacity
     * @param remainingMs time until the caller times out
     * @param random number from 0 to 1
     */
    public static long waitMs(double expectedMs, double remainingMs, double random) {
        double minWaitMs = Math.max(MIN_WAIT_MS, MIN_SHARE_OF_REMAINING * Math.max(0, remainingMs));
        return Math.round(Math.max(minWaitMs, expectedMs) * (1 + MAX_JITTER_SHARE * random));
    }
}
