package org.siskintiller.core.path;

/** Limits the bytes that are sent over a link to a rate. A short burst above the rate is allowed. */
public final class LinkBudget {
    private static final double NS_PER_S = 1e9;
    /** Bytes that may be sent at once. On a link of 10 Mbit/s, a small message behind them waits for about 26 ms. */
    private static final int BURST_BYTES = 32 * 1024;
    /** On a fast link the burst is longer, since a timer has a resolution of about 1 ms. */
    private static final long MIN_BURST_NS = 5_000_000;

    private final double nsPerByte;
    private final long burstNs;
    /** Time at which all bytes taken so far have been sent at the rate. */
    private long sentAtNs;

    public LinkBudget(double bytesPerSecond) {
        if (!(bytesPerSecond > 0)) {
            throw new IllegalArgumentException("a link needs a rate above 0, not " + bytesPerSecond + " bytes/s");
        }
        nsPerByte = NS_PER_S / bytesPerSecond;
        burstNs = Math.max(MIN_BURST_NS, Math.round(BURST_BYTES * nsPerByte));
        sentAtNs = Long.MIN_VALUE / 2;
    }

    /** Takes the bytes if they may be sent now. A message larger than the burst may be sent when nothing is pending. */
    public boolean tryTake(int bytes, long nowNs) {
        if (waitNs(nowNs) > 0) {
            return false;
        }
        take(bytes, nowNs);
        return true;
    }

    /** Takes bytes that are sent without waiting. Later ones wait longer. */
    public void take(int bytes, long nowNs) {
        sentAtNs = Math.max(sentAtNs, nowNs) + Math.round(bytes * nsPerByte);
    }

    /** Time until the next bytes may be sent. */
    public long waitNs(long nowNs) {
        return Math.max(0, sentAtNs - burstNs - nowNs);
    }

    /** Time until the next bytes may be sent without a burst, so that a small message waits for one part at most. */
    public long waitWithoutBurstNs(long nowNs) {
        return Math.max(0, sentAtNs - MIN_BURST_NS - nowNs);
    }
}
