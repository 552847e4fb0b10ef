package org.siskintiller.core.admission;

/** Sum of recently dispatched work. Older work counts exponentially less. */
final class RecentWork {
    /** Work of about the last second counts: longer than the jitter of arrivals, shorter than a burst. */
    private static final double TIME_CONSTANT_NS = 1_000_000_000;

    private double workNs;
    private long updatedNs = Long.MIN_VALUE;

    void add(double addedNs, long nowNs) {
        decay(nowNs);
        workNs += addedNs;
    }

    /** Slots that the work kept busy on average. */
    double slots(long nowNs) {
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
