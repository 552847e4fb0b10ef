package org.siskintiller.core.session;

/** Durations and intervals of sessions and leases, and the sizes of witness quorums. */
public final class SessionTiming {
    public static final long LEASE_DURATION_MS = 1200;
    public static final long HEARTBEAT_INTERVAL_MS = 400;
    /** Maximum difference between the clock rates of two machines. */
    public static final long MAX_CLOCK_DRIFT_PERCENT = 1;
    /** A companion that has not held its lease for this long retires its incarnation. */
    public static final long RETIREMENT_MS = 5_000;
    /** After a planned stop has closed its session, a companion acks heartbeats for at most this long. */
    public static final long MAX_ACKS_AFTER_CLOSE_MS = 10_000;
    /** Interval at which claims, release requests and lapse notices without a response are sent again. */
    public static final long RETRY_INTERVAL_MS = 100;

    public static final long MS = 1_000_000L;
    /** Lease as the holder measures it: shorter, since its clock may be slow. */
    public static final long HOLDER_LEASE_NS = LEASE_DURATION_MS * MS * (100 - MAX_CLOCK_DRIFT_PERCENT) / 100;
    /** Lease as a witness measures it: longer, since its clock may be fast. */
    public static final long WITNESS_LEASE_NS = withDrift(LEASE_DURATION_MS * MS);

    public static final long HEARTBEAT_INTERVAL_NS = HEARTBEAT_INTERVAL_MS * MS;
    public static final long RETIREMENT_NS = RETIREMENT_MS * MS;
    public static final long MAX_ACKS_AFTER_CLOSE_NS = MAX_ACKS_AFTER_CLOSE_MS * MS;
    public static final long RETRY_INTERVAL_NS = RETRY_INTERVAL_MS * MS;
    /** Time after the end of its session by which a witness has stopped acking and all leases it acked have expired. */
    public static final long WITNESS_RETIRED_NS = withDrift(MAX_ACKS_AFTER_CLOSE_NS + LEASE_DURATION_MS * MS);

    private SessionTiming() {}

    /** Extends a duration by the clock drift. */
    public static long withDrift(long durationNs) {
        return durationNs + durationNs * MAX_CLOCK_DRIFT_PERCENT / 100;
    }

    /** Returns the number of grants that end a session with this many witnesses. */
    public static int endQuorum(int witnesses) {
        return witnesses / 2 + 1;
    }

    /** Returns the number of acks that renew a lease with this many witnesses. It intersects every end quorum. */
    public static int renewalQuorum(int witnesses) {
        return witnesses - witnesses / 2;
    }
}
