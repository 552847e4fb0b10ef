package org.siskintiller.core.admission;

/** Share of the recent requests of a rank that were admitted. The counts decay exponentially. */
final class AdmittedShare {
    private static final long HALF_LIFE_NS = 200_000_000L;

    private double offered;
    private double admitted;
    private long lastDecayNs = Long.MIN_VALUE;

    void recordAdmitted(long nowNs) {
        decay(nowNs);
        offered++;
        admitted++;
    }

    void recordRefused(long nowNs) {
        decay(nowNs);
        offered++;
    }

    /** Corrects the counts when an admitted request leaves the queue without being served. */
    void recordDropped(long nowNs) {
        decay(nowNs);
        admitted = Math.max(0, admitted - 1);
    }

    double share() {
        return offered < 1 ? 1 : Math.min(1, admitted / offered);
    }

    void decay(long nowNs) {
        if (lastDecayNs == Long.MIN_VALUE) {
            lastDecayNs = nowNs;
            return;
        }
        long halfLives = (nowNs - lastDecayNs) / HALF_LIFE_NS;
        if (halfLives > 0) {
            double factor = Math.pow(0.5, halfLives);
            offered *= factor;
            admitted *= factor;
            lastDecayNs += halfLives * HALF_LIFE_NS;
        }
    }
}
