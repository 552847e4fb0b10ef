package org.siskintiller.core.retry;

/**
 * Decides how a request goes on that a backend server rejected, so that it has not run.
 *
 * <p>Load pattern: backend servers reject half of their arrivals for some seconds although they have free slots. Such a
 * rejection says nothing about the next arrival, so the request is sent to the same backend server again, and a caller
 * that is refused may return soon. A backend server without free slots is full for about one service time at least.
 */
public final class RejectedRequest {
    /** Retry-After of a rejection by a backend server that is full or does not report its load. */
    private static final long FULL_RETRY_AFTER_MS = 250;
    /**
     * As above when it reports free slots. Callers whose objective is 400 ms still meet it after this wait, which also
     * lasts longer than a rejection from a spike of arrivals.
     */
    private static final long FREE_RETRY_AFTER_MS = 50;

    private RejectedRequest() {}

    /** Returns the time after which the backend server may accept the request. */
    public static long retryAfterMs(boolean hasFreeSlots) {
        return hasFreeSlots ? FREE_RETRY_AFTER_MS : FULL_RETRY_AFTER_MS;
    }

    /** Whether a rejection with the given time comes from a backend server that has free slots. */
    public static boolean hasFreeSlots(long retryAfterMs) {
        return retryAfterMs <= FREE_RETRY_AFTER_MS;
    }

    /**
     * Whether a request may be sent to the same backend server again, if the retry budget allows it. After its objective
     * it leaves the budget to requests that can still meet theirs.
     */
    public static boolean mayRepeat(long retryAfterMs, long objectiveNs, long nowNs) {
        return hasFreeSlots(retryAfterMs) && nowNs < objectiveNs;
    }

    /** Returns the time in milliseconds that the caller should wait; the parameters are those of {@link RetryAfter}. */
    public static long callerWaitMs(long retryAfterMs, double remainingMs, double random) {
        return RetryAfter.waitMs(retryAfterMs, hasFreeSlots(retryAfterMs) ? 0 : remainingMs, random);
    }
}
