package org.siskintiller.core.retry;

/**
 * Share of one companion in a retry budget of all companions. In any window, the budget allows retries up to a ratio of
 * the requests for a service plus a fixed slack. The companions do not coordinate: each one uses an equal part of the
 * slack and the ratio of its own requests.
 */
public final class SharedRetryBudget {
    /**
     * Share of the budget that a window earns, and also the share that can be saved: a window may spend the saved and
     * all earned tokens. The rest is reserved for the calls that retried requests make at other services.
     */
    private static final double TOKEN_SHARE = 0.35;

    /** Share of the saved tokens that only calls of running requests may take. */
    private static final double INTERNAL_SHARE = 0.5;

    private final double ratio;
    private final double slack;
    private final long windowNs;
    private double tokens;
    private double recentRequests;
    private int companions = 1;
    private long updatedNs = Long.MIN_VALUE;

    public SharedRetryBudget(double ratio, double slack, long windowMs) {
        if (ratio < 0 || slack < 0 || windowMs < 1) {
            throw new IllegalArgumentException("ratio and slack must not be negative, and the window positive");
        }
        this.ratio = ratio;
        this.slack = slack;
        this.windowNs = windowMs * 1_000_000;
    }

    public void setCompanions(int count) {
        companions = Math.max(1, count);
    }

    /** Counts a request of a caller for the service. */
    public void requested(long nowNs) {
        update(nowNs);
        recentRequests++;
        tokens = Math.min(maxTokens(), tokens + TOKEN_SHARE * ratio);
    }

    /**
     * Takes one retry from the budget. Returns false if none is left.
     *
     * <p>Load pattern: most backend servers of a service reject half of their arrivals. A refused caller can return by
     * itself. A call of a running request cannot: its failure wastes the work of that request, so a part of the budget is
     * kept for calls.
     *
     * @param internal whether the retry is for a call of a running request
     */
    public boolean tryTake(boolean internal, long nowNs) {
        update(nowNs);
        double kept = internal ? 0 : INTERNAL_SHARE * maxTokens();
        if (tokens - kept < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    public double tokens() {
        return tokens;
    }

    private double maxTokens() {
        return Math.max(1, TOKEN_SHARE * (slack / companions + ratio * recentRequests));
    }

    private void update(long nowNs) {
        if (updatedNs == Long.MIN_VALUE) {
            updatedNs = nowNs;
            tokens = maxTokens();
        }
        double elapsed = Math.max(0, (double) (nowNs - updatedNs) / windowNs);
        tokens = Math.min(maxTokens(), tokens + elapsed * TOKEN_SHARE * slack / companions);
        recentRequests *= Math.exp(-elapsed);
        updatedNs = Math.max(updatedNs, nowNs);
    }
}
