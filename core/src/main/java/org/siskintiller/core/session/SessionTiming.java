package org.siskintiller.core.session;

/** Times of sessions and leases, and the sizes of witness quorums. */
public final class SessionTiming {
    public static final long LEASE_DURATION_MS = 1200;
    public static final long HEARTBEAT_INTERVAL_MS = 400;
    /** Clocks of two machines differ in rate by at most this much. */
    public static final long DRIFT_PERCENT = 1;
    /** A companion without its lease for this long retires its incarnation. */
    public static final long RETIREMENT_MS = 5_000;
    /** A companion whose planned stop closed its session acks no more after this long. */
    public static final long WITNESS_SILENCE_MS = 10_000;
    /** Interval at which unanswered claims, releases and lapse notices are repeated. */
    public static final long RETRY_INTERVAL_MS = 100;

    public static final long MS = 1_000_000L;
    /** Lease as the holder measures it: shorter, since its clock may be slow. */
    public static final long HOLDER_LEASE_NS = LEASE_DURATION_MS * MS * (100 - DRIFT_PERCENT) / 100;
    /** Lease as a witness measures it: longer, since its clock may be fast. */
    public static final long WITNESS_LEASE_NS = withDrift(LEASE_DURATION_MS * MS);

    public static final long HEARTBEAT_INTERVAL_NS = HEARTBEAT_INTERVAL_MS * MS;
    public static final long RETIREMENT_NS = RETIREMENT_MS * MS;
    public static final long WITNESS_SILENCE_NS = WITNESS_SILENCE_MS * MS;
    public static final long RETRY_INTERVAL_NS = RETRY_INTERVAL_MS * MS;
    /** Time after its end from which a witness no longer acks, and no lease that it acked still runs. */
    public static final long WITNESS_RETIRED_NS = withDrift(WITNESS_SILENCE_NS + LEASE_DURATION_MS * MS);

    private SessionTiming() {}

    /** Lengthens a time by the drift margin. */
    public static long withDrift(long durationNs) {
        return durationNs + durationNs * DRIFT_PERCENT / 100;
    }

    /** Grants that end a session with this many witnesses. */
    public static int endQuorum(int witnesses) {
        return witnesses / 2 + 1;
    }

    /** Acks that renew the lease of a session with this many witnesses. It intersects every end quorum. */
    public static int renewalQuorum(int witnesses) {
        return witnesses - witnesses / 2;
    }
}
