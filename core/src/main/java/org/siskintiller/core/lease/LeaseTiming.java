package org.siskintiller.core.lease;

/** Times of the lease protocol in nanoseconds. */
public final class LeaseTiming {
    /** Lease of a holder. Four heartbeats of a backend server fit, and keys of a lost machine move after it. */
    public static final long LEASE_NS = 3_500_000_000L;
    /** A holder renews this often, so two lost renewals cost nothing. */
    public static final long RENEWAL_INTERVAL_NS = 400_000_000L;
    /** Clocks of two machines drift apart by at most this share over a lease. */
    public static final double CLOCK_DRIFT = 0.01;
    /** The platform's pages allow the clock of a backend server to run this much slow. */
    public static final double BACKEND_CLOCK_DRIFT = 0.02;
    /** The authority renews leases this long without the store: longer than usual outages, which last up to 9 s. */
    public static final long AUTHORITY_WITHOUT_STORE_NS = 12_000_000_000L;
    /** Holders are told a hold time only when it covers the way to the backend server and back. */
    public static final long LEAST_HOLD_NS = 300_000_000L;
    /** Allowance for scheduling between a decision and its effect on the wire. */
    public static final long MARGIN_NS = 50_000_000L;

    private LeaseTiming() {}

    /** Time after which a lease that was given now is over on every clock. */
    static long leaseOver(long nowNs) {
        return nowNs + Math.round(LEASE_NS * (1 + CLOCK_DRIFT)) + MARGIN_NS;
    }
}
