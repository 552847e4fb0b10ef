package org.siskintiller.standin.log;

/** Token bucket with a capacity of a tenth of a second. */
final class RateLimit {
    private static final double BURST_SECONDS = 0.1;
    private static final double NS_PER_SECOND = 1e9;

    private final double tokensPerSecond;
    private double tokens;
    private long lastRefillNs;

    /** Creates a limit in tokens per second; 0 is unlimited. */
    RateLimit(double tokensPerSecond, long nowNs) {
        this.tokensPerSecond = tokensPerSecond;
        this.tokens = burst();
        this.lastRefillNs = nowNs;
    }

    synchronized boolean tryAcquire(long nowNs) {
        if (tokensPerSecond == 0) {
            return true;
        }
        tokens = Math.min(burst(), tokens + (nowNs - lastRefillNs) / NS_PER_SECOND * tokensPerSecond);
        lastRefillNs = nowNs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private double burst() {
        return Math.max(1, tokensPerSecond * BURST_SECONDS);
    }
}
