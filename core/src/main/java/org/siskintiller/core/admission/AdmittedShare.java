package org.siskintiller.core.admission;

/** Share of recent requests of a rank that were admitted. Old counts lose half their weight every interval. */
final class AdmittedShare {
    private static final long HALF_LIFE_NS = 200_000_000L;

    private double offered;
    private double admitted;
    private long halvedNs = Long.MIN_VALUE;

    void admitted(long nowNs) {
        decay(nowNs);
        offered++;
        admitted++;
    }

    void refused(long nowNs) {
        decay(nowNs);
        offered++;
    }

    /** An admitted request left the queue without being served. */
    void dropped(long nowNs) {
        decay(nowNs);
        admitted = Math.max(0, admitted - 1);
    }

    double share() {
        return offered < 1 ? 1 : Math.min(1, admitted / offered);
    }

    void decay(long nowNs) {
        if (halvedNs == Long.MIN_VALUE) {
            halvedNs = nowNs;
            return;
        }
        long halvings = (nowNs - halvedNs) / HALF_LIFE_NS;
        if (halvings > 0) {
            double factor = Math.pow(0.5, halvings);
            offered *= factor;
            admitted *= factor;
            halvedNs += halvings * HALF_LIFE_NS;
        }
    }
}
