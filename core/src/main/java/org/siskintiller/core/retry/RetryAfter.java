package org.siskintiller.core.retry;

/** Decides when a refused caller should come back. */
public final class RetryAfter {
    private static final double LEAST_MS = 50;
    /**
     * Least part of the caller's remaining time. An overload lasts longer than a request, so a caller that comes back
     * sooner is mostly refused again. Callers wait for at most a third; with the random part this stays below it.
     */
    private static final double LEAST_PART_OF_LEFT = 0.23;
    /** Random part, so that callers that were refused together do not return together. */
    private static final double SPREAD = 0.4;

    private RetryAfter() {}

    /**
     * Returns the time to wait in milliseconds.
     *
     * @param expectedMs time after which the refusing companion expects room
     * @param leftMs time until the caller gives up
     * @param random number from 0 to 1
     */
    public static long waitMs(double expectedMs, double leftMs, double random) {
        double least = Math.max(LEAST_MS, LEAST_PART_OF_LEFT * Math.max(0, leftMs));
        return Math.round(Math.max(least, expectedMs) * (1 + SPREAD * random));
    }
}
