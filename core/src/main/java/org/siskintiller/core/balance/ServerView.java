package org.siskintiller.core.balance;

/**
 * What a companion knows of the load of one backend server: its reports and the requests that it sent there itself. Load
 * pattern: many companions that each send a few requests a second to a server. Between its reports, which may be some
 * seconds apart, the server completes many requests, so that all senders would follow the same outdated report.
 *
 * <p>Own requests are known exactly, from their sending to their end. Those of others are known from the last report, which
 * decays to the mean of the reports within about the time that requests stay at the server.
 */
public final class ServerView {
    /**
     * Time over which reports count in the mean. With a few seconds the companions follow the same reports in turn and
     * overload servers one after the other (docs/design/machine-speed.md).
     */
    private static final double MEAN_WINDOW_NS = 30e9;
    /** Service times after which a report says little about the requests that are there at the moment. */
    private static final double REPORT_SERVICE_TIMES = 1;

    private BackendLoad load = BackendLoad.UNKNOWN;
    private boolean hasReport;
    private long reportedNs;
    private double observedNs;
    private double othersAtReport;
    private double meanOthers;

    /**
     * Processes a report.
     *
     * @param inFlight requests of this companion that the report includes
     */
    public void reported(BackendLoad newLoad, int inFlight, long nowNs) {
        double others = Math.max(0, newLoad.running() + newLoad.queued() - inFlight);
        double elapsedNs = hasReport ? Math.max(0, nowNs - reportedNs) : 0;
        observedNs = Math.min(MEAN_WINDOW_NS, observedNs + elapsedNs);
        meanOthers += (observedNs == 0 ? 1 : elapsedNs / observedNs) * (others - meanOthers);
        othersAtReport = others;
        load = newLoad;
        reportedNs = nowNs;
        hasReport = true;
    }

    public BackendLoad load() {
        return load;
    }

    /**
     * Returns what a request will find.
     *
     * @param inFlight requests of this companion that have not ended
     */
    public ExpectedLoad expected(int inFlight, long nowNs) {
        if (!hasReport) {
            return ExpectedLoad.of(load, inFlight);
        }
        double recency = Math.exp(-ageNs(nowNs) / (REPORT_SERVICE_TIMES * ExpectedLoad.serviceNs(load)));
        double others = meanOthers + recency * (othersAtReport - meanOthers);
        double variance = meanOthers * (1 - recency * recency);
        return new ExpectedLoad(load.slots(), inFlight + others, variance, serviceNs(nowNs), inFlight + othersAtReport);
    }

    /** Returns the load of the last report, for small fleets whose reports are recent. */
    public ExpectedLoad asReported(int sentSinceReport, long nowNs) {
        int ahead = load.running() + load.queued() + sentSinceReport;
        return new ExpectedLoad(load.slots(), ahead, 0, serviceNs(nowNs), ahead);
    }

    private double serviceNs(long nowNs) {
        double excess = ExpectedLoad.workFactor(load.workPercent()) - 1;
        return ExpectedLoad.serviceNs(load) * (1 + excess * MachineSpeed.recency(ageNs(nowNs)));
    }

    private double ageNs(long nowNs) {
        return Math.max(0, nowNs - reportedNs);
    }
}
