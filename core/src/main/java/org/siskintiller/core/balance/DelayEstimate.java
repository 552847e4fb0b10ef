package org.siskintiller.core.balance;

import java.util.Objects;

/**
 * Backend server that a request without a key may go to, with what its expected delay depends on.
 *
 * @param sentSinceReport requests sent there since the load was reported
 * @param failureRate recent share of failed requests, from 0 to 1
 * @param wayNs extra time and price of the way there
 */
public record DelayEstimate(String instance, BackendLoad load, int sentSinceReport, double failureRate, long wayNs) {
    /** Service time that is assumed before one is measured. */
    private static final long UNKNOWN_SERVICE_NS = 100_000_000;
    /** A failure costs the caller about as much as this many service times, since it must ask again. */
    private static final double FAILURE_COST = 5;

    public DelayEstimate {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(load, "load");
    }

    /** Expected time until the response in nanoseconds. */
    public double delayNs() {
        double serviceNs = load.meanServiceUs() == 0 ? UNKNOWN_SERVICE_NS : load.meanServiceUs() * 1_000.0;
        int ahead = load.running() + load.queued() + sentSinceReport;
        // A request waits for one of the slots as soon as all are taken; below that the least busy one is preferred.
        double occupancy = (double) ahead / Math.max(1, load.slots());
        double waitNs = Math.max(0, ahead + 1 - load.slots()) * serviceNs / Math.max(1, load.slots());
        double crowdingNs = Math.min(1, occupancy) * serviceNs * 0.25;
        return serviceNs + waitNs + crowdingNs + failureRate * FAILURE_COST * serviceNs + wayNs;
    }
}
