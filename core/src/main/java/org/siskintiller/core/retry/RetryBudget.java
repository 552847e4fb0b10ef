package org.siskintiller.core.retry;

/** Limits retries to a share of the successes, so that retries cannot multiply an overload. */
public final class RetryBudget {
    /** Retries a second that are allowed without successes, so that a companion with few requests can retry. */
    public static final double FLOOR_PER_SECOND = 1;
    /** Maximum number of saved retries. It bounds the burst of retries when an owner is lost. */
    public static final double MAX_TOKENS = 100;

    private static final double NS_PER_SECOND = 1e9;

    private double successShare;
    private double tokens = FLOOR_PER_SECOND;
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
        tokens = Math.min(MAX_TOKENS, tokens + successShare);
    }

    /** Takes one retry from the budget. Returns false if none is left. */
    public boolean tryTake(long nowNs) {
        refill(nowNs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    public double tokens() {
        return tokens;
    }

    /** The floor alone accumulates the retries of at most one second, since it covers single failures only. */
    private void refill(long nowNs) {
        if (refilledNs != Long.MIN_VALUE && nowNs > refilledNs && tokens < FLOOR_PER_SECOND) {
            double refillTokens = (nowNs - refilledNs) / NS_PER_SECOND * FLOOR_PER_SECOND;
            tokens = Math.min(FLOOR_PER_SECOND, tokens + refillTokens);
        }
        refilledNs = Math.max(refilledNs, nowNs);
    }
}
