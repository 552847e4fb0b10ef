package org.siskintiller.core.balance;

import java.util.Objects;

/**
 * Backend server that a request without a key may go to, with the values that determine its expected delay.
 *
 * @param sentSinceReport requests sent there since the load was reported
 * @param failureRate recent share of failed requests, from 0 to 1
 * @param pathCostNs extra latency and cost of the network path to it, as a time
 */
public record DelayEstimate(
        String instance, BackendLoad load, int sentSinceReport, double failureRate, long pathCostNs) {
    /** Service time that is assumed before one is reported. */
    private static final long UNKNOWN_SERVICE_NS = 100_000_000;
    /** Cost of a failure in service times, since the caller must send the request again. */
    private static final double FAILURE_COST_SERVICE_TIMES = 5;

    public DelayEstimate {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(load, "load");
    }

    /** Expected time until the response in nanoseconds. */
    public double delayNs() {
        double serviceNs = load.meanServiceUs() == 0 ? UNKNOWN_SERVICE_NS : load.meanServiceUs() * 1_000.0;
        int requestsAhead = load.running() + load.queued() + sentSinceReport;
        // A request waits only when all slots are taken. Below that, the lowest occupancy is preferred.
        double occupancy = (double) requestsAhead / Math.max(1, load.slots());
        double waitNs = Math.max(0, requestsAhead + 1 - load.slots()) * serviceNs / Math.max(1, load.slots());
        double crowdingNs = Math.min(1, occupancy) * serviceNs * 0.25;
        return serviceNs + waitNs + crowdingNs + failureRate * FAILURE_COST_SERVICE_TIMES * serviceNs + pathCostNs;
    }
}
