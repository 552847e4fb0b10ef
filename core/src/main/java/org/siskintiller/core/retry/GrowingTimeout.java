package org.siskintiller.core.retry;

/**
 * Timeout that doubles with each expiry in succession, up to a maximum. A fixed timeout never succeeds on a working path
 * whose delay is longer.
 */
public final class GrowingTimeout {
    private final int minMs;
    private final int maxMs;
    private int currentMs;

    public GrowingTimeout(int minMs, int maxMs) {
        if (minMs < 1 || maxMs < minMs) {
            throw new IllegalArgumentException("timeouts must be at least 1 ms, and the maximum at least the minimum");
        }
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.currentMs = minMs;
    }

    public int currentMs() {
        return currentMs;
    }

    public void expired() {
        currentMs = (int) Math.min(maxMs, currentMs * 2L);
    }

    public void succeeded() {
        currentMs = minMs;
    }
}
