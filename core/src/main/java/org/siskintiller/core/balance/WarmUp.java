package org.siskintiller.core.balance;

/** Share of its usual requests that a backend server receives after it started or returned. */
public final class WarmUp {
    public static final long DURATION_NS = 10_000_000_000L;
    /** Share at the start. With a share of 0 a backend server would never warm up. */
    public static final double FIRST_SHARE = 0.1;

    private WarmUp() {}

    public static double share(long servingSinceNs, long nowNs) {
        double elapsed = (double) (nowNs - servingSinceNs) / DURATION_NS;
        return Math.max(FIRST_SHARE, Math.min(1, elapsed));
    }
}
