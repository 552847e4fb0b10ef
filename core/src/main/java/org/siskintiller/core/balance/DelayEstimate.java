package org.siskintiller.core.balance;

import java.util.Objects;

/**
 * Backend server that a request without a key may go to, with the values that determine its expected delay.
 *
 * @param failureRate recent share of failed requests, from 0 to 1
 * @param pathCostNs extra latency and cost of the network path to it, as a time
 */
public record DelayEstimate(String instance, ExpectedLoad load, double failureRate, long pathCostNs) {
    /** Cost of a failure in service times, since the caller must send the request again. */
    static final double FAILURE_COST_SERVICE_TIMES = 5;

    public DelayEstimate {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(load, "load");
    }

    /**
     * Estimate from a load that is known exactly.
     *
     * @param sentSinceReport requests sent there since the load was reported
     */
    public DelayEstimate(String instance, BackendLoad load, int sentSinceReport, double failureRate, long pathCostNs) {
        this(instance, ExpectedLoad.of(load, sentSinceReport), failureRate, pathCostNs);
    }

    /** Expected time until the response in nanoseconds. */
    public double delayNs() {
        double serviceNs = load.serviceNs();
        // A request waits only when all slots are taken. Below that, the lowest occupancy is preferred.
        double crowdingNs = Math.min(1, load.occupancy()) * serviceNs * 0.25;
        return serviceNs
                + load.waitNs()
                + crowdingNs
                + failureRate * FAILURE_COST_SERVICE_TIMES * serviceNs
                + pathCostNs;
    }
}
