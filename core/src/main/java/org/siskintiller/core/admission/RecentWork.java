package org.siskintiller.core.admission;

/** Sum of recently dispatched work that decays exponentially. */
final class RecentWork {
    /** The mean covers about the last second: longer than the jitter of arrivals, shorter than a burst. */
    private static final double TIME_CONSTANT_NS = 1_000_000_000;

    private double workNs;
    private long updatedNs = Long.MIN_VALUE;

    void add(double addedNs, long nowNs) {
        decay(nowNs);
        workNs += addedNs;
    }

    /** Mean number of slots that the work occupied. */
    double meanSlots(long nowNs) {
        decay(nowNs);
        return workNs / TIME_CONSTANT_NS;
    }

    private void decay(long nowNs) {
        if (updatedNs != Long.MIN_VALUE && nowNs > updatedNs) {
            workNs *= Math.exp((updatedNs - nowNs) / TIME_CONSTANT_NS);
        }
        updatedNs = Math.max(updatedNs, nowNs);
    }
}
