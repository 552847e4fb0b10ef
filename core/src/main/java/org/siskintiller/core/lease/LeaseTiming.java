package org.siskintiller.core.lease;

/** Timing of the lease protocol. */
public final class LeaseTiming {
    /** Duration of a holder's lease: four heartbeats of a backend server. Keys of a lost machine move after it. */
    public static final long LEASE_NS = 3_500_000_000L;
    /** Interval between two renewals of a holder. The lease outlasts two lost renewals. */
    public static final long RENEWAL_INTERVAL_NS = 400_000_000L;
    /** Clocks of two machines drift apart by at most this share over a lease. */
    public static final double CLOCK_DRIFT = 0.01;
    /** The platform allows the clock of a backend server to run slow by this share. */
    public static final double BACKEND_CLOCK_DRIFT = 0.02;
    /** Time for which the authority renews leases without the store. Usual outages of the store last up to 9 s. */
    public static final long AUTHORITY_WITHOUT_STORE_NS = 12_000_000_000L;
    /** Minimum hold time that is granted. It covers the round trip to the backend server. */
    public static final long MIN_HOLD_NS = 300_000_000L;
    /** Allowance for scheduling between a decision and its effect on the wire. */
    public static final long MARGIN_NS = 50_000_000L;

    private LeaseTiming() {}

    /** Time after which a lease that is granted now has expired on every clock. */
    static long leaseEnd(long nowNs) {
        return nowNs + Math.round(LEASE_NS * (1 + CLOCK_DRIFT)) + MARGIN_NS;
    }
}
