package org.siskintiller.core.idempotency;

/**
 * Period in which requests with an idempotency key are accepted.
 *
 * @param windowMs age after which a key is refused
 * @param skewMs largest difference between any two wall clocks
 */
public record KeyWindow(long windowMs, long skewMs) {
    public static final long DEFAULT_WINDOW_MS = 600_000;
    public static final long MAX_CLOCK_SKEW_MS = 5_000;
    public static final KeyWindow DEFAULT = new KeyWindow(DEFAULT_WINDOW_MS, MAX_CLOCK_SKEW_MS);

    public KeyWindow {
        if (windowMs < 1 || skewMs < 0) {
            throw new IllegalArgumentException("window must be positive and skew not negative");
        }
    }

    /** Whether a request with a key of this time is accepted now. */
    public boolean contains(long timestampMs, long wallMs) {
        return timestampMs >= wallMs - windowMs && timestampMs <= wallMs + skewMs;
    }

    /** Wall clock time from which every companion refuses a key of this time, whatever the skew of its clock. */
    public long expiryMs(long timestampMs) {
        return timestampMs + windowMs + 2 * skewMs + 1;
    }
}
