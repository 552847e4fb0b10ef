package org.siskintiller.core.retry;

/**
 * Share of one companion in a retry budget that all companions spend together. The budget allows, in any window, a
 * ratio of the requests for a service plus a fixed slack. Without messages between companions each one takes its part
 * of the slack, and of the ratio what its own requests earn.
 */
public final class SharedRetryBudget {
    /**
     * Part of the ratio that is earned and again of the slack that is saved: a window may see the saved tokens and
     * all that are earned in it. The rest is left for the calls that repeated requests make at other services.
     */
    private static final double EARNED_PART = 0.35;

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
        tokens = Math.min(cap(), tokens + EARNED_PART * ratio);
    }

    /** Takes one repeat from the budget. Returns false if none is left. */
    public boolean tryTake(long nowNs) {
        update(nowNs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    public double tokens() {
        return tokens;
    }

    private double cap() {
        return Math.max(1, EARNED_PART * (slack / companions + ratio * recentRequests));
    }

    private void update(long nowNs) {
        if (updatedNs == Long.MIN_VALUE) {
            updatedNs = nowNs;
            tokens = cap();
        }
        double elapsed = Math.max(0, (double) (nowNs - updatedNs) / windowNs);
        tokens = Math.min(cap(), tokens + elapsed * EARNED_PART * slack / companions);
        recentRequests *= Math.exp(-elapsed);
        updatedNs = Math.max(updatedNs, nowNs);
    }
}
