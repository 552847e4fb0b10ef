package org.siskintiller.standin.log;

/** Token bucket that holds the tokens of a tenth of a second. */
final class RateLimit {
    private static final double BURST_SECONDS = 0.1;
    private static final double NS_PER_SECOND = 1e9;

    private final double perSecond;
    private double tokens;
    private long lastNs;

    /** A rate of 0 is no limit. */
    RateLimit(double perSecond, long nowNs) {
        this.perSecond = perSecond;
        this.tokens = burst();
        this.lastNs = nowNs;
    }

    synchronized boolean tryAcquire(long nowNs) {
        if (perSecond == 0) {
            return true;
        }
        tokens = Math.min(burst(), tokens + (nowNs - lastNs) / NS_PER_SECOND * perSecond);
        lastNs = nowNs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private double burst() {
        return Math.max(1, perSecond * BURST_SECONDS);
    }
}
