package org.siskintiller.core.balance;

/**
 * What a companion expects a request to find at a backend server.
 *
 * @param slots requests that may run at once
 * @param requestsAhead mean of the requests that run or wait there
 * @param variance uncertainty of that number, 0 for a load that is known exactly
 * @param serviceNs time in execution
 * @param lastAhead requests ahead by the last report alone. For one server it is outdated; the mean over the servers of
 *     a domain shows a wave within a report interval
 */
public record ExpectedLoad(int slots, double requestsAhead, double variance, double serviceNs, double lastAhead) {
    /** Service time that is assumed before one is reported. */
    static final double UNKNOWN_SERVICE_NS = 100_000_000;

    public ExpectedLoad {
        slots = Math.max(1, slots);
    }

    /** Returns the load at the time of its report, and the requests that were sent since then. */
    static ExpectedLoad of(BackendLoad load, int sentSinceReport) {
        int ahead = load.running() + load.queued() + sentSinceReport;
        double serviceNs = serviceNs(load) * workFactor(load.workPercent());
        return new ExpectedLoad(load.slots(), ahead, 0, serviceNs, ahead);
    }

    static double serviceNs(BackendLoad load) {
        return load.meanServiceUs() == 0 ? UNKNOWN_SERVICE_NS : load.meanServiceUs() * 1_000.0;
    }

    static double workFactor(int workPercent) {
        return workPercent == 0 ? 1 : workPercent / 100.0;
    }

    /** Expected time until a slot is free. */
    public double waitNs() {
        return expectedExcess() * serviceNs / slots;
    }

    /** Whether the last report says more than the mean of earlier ones. */
    boolean isRecent() {
        return variance < 1;
    }

    /** Requests per second that the backend server completes when all slots are taken. */
    public double capacityPerSecond() {
        return slots * 1e9 / serviceNs;
    }

    /** Requests that run or wait there in relation to its slots. */
    public double occupancy() {
        return requestsAhead / slots;
    }

    /** Requests per second that it completes by the last report, by Little's law. */
    public double busyPerSecond() {
        return capacityPerSecond() * Math.min(1, lastAhead / slots);
    }

    /** Time until a slot is free by the last report. */
    public double lastWaitNs() {
        return Math.max(0, lastAhead + 1 - slots) * serviceNs / slots;
    }

    /** Mean of the requests beyond the slots after one more request, for a normal distribution. */
    private double expectedExcess() {
        double mean = requestsAhead + 1 - slots;
        if (variance <= 0) {
            return Math.max(0, mean);
        }
        double deviation = Math.sqrt(variance);
        double normalized = mean / deviation;
        double density = Math.exp(-normalized * normalized / 2) / Math.sqrt(2 * Math.PI);
        // Logistic approximation of the normal distribution; its error is below 0.01.
        double probability = 1 / (1 + Math.exp(-1.702 * normalized));
        return Math.max(0, mean * probability + deviation * density);
    }
}
