package org.siskintiller.core.retry;

/** Limits retries to a share of the successes, so that retries cannot multiply an overload. */
public final class RetryBudget {
    /** Retries a second that are allowed without successes, so that a quiet companion can retry at all. */
    public static final double FLOOR_PER_SECOND = 1;
    /** Largest number of saved retries. It bounds the burst when an owner is lost. */
    public static final double MAX_SAVED = 100;

    private static final double NS_PER_SECOND = 1e9;

    private double successShare;
    private double saved = FLOOR_PER_SECOND;
    private long refilledNs = Long.MIN_VALUE;

    public RetryBudget(int percent) {
        setPercent(percent);
    }

    public void setPercent(int percent) {
        if (percent < 0 || percent > 100) {
            throw new IllegalArgumentException("retry budget of " + percent + "% is outside 0-100");
        }
        successShare = percent / 100.0;
    }

    public void succeeded() {
        saved = Math.min(MAX_SAVED, saved + successShare);
    }

    /** Takes one retry from the budget. Returns false if none is left. */
    public boolean tryTake(long nowNs) {
        refill(nowNs);
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }

    public double saved() {
        return saved;
    }

    /** The floor alone saves up at most one second, since it is for single failures. */
    private void refill(long nowNs) {
        if (refilledNs != Long.MIN_VALUE && nowNs > refilledNs && saved < FLOOR_PER_SECOND) {
            double earned = (nowNs - refilledNs) / NS_PER_SECOND * FLOOR_PER_SECOND;
            saved = Math.min(FLOOR_PER_SECOND, saved + earned);
        }
        refilledNs = Math.max(refilledNs, nowNs);
    }
}
