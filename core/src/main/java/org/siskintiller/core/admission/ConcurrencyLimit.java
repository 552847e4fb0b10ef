package org.siskintiller.core.admission;

/**
 * Number of requests that may run at once. It starts at the announced concurrency and follows the load reports of the
 * backend server one step at a time, since a report may lag or be wrong.
 */
public final class ConcurrencyLimit {
    private static final long STEP_INTERVAL_NS = 1_000_000_000L;
    /** Lowest share of the announced concurrency. A wrong report costs at most half of the capacity. */
    private static final double FLOOR_SHARE = 0.5;

    private int announced;
    private int floor;
    private int corrected;
    private double allowedShare = 1;
    private long lastStepNs = Long.MIN_VALUE;

    public ConcurrencyLimit(int announced) {
        announce(announced);
    }

    /** Starts again from an announced concurrency, as for another run of the backend server. */
    public void announce(int concurrency) {
        if (concurrency < 1) {
            throw new IllegalArgumentException("announced concurrency must be at least 1");
        }
        announced = concurrency;
        floor = (int) Math.ceil(concurrency * FLOOR_SHARE);
        corrected = concurrency;
    }

    /**
     * Moves the limit by at most one towards the report.
     *
     * @param running requests that the backend server says it runs
     * @param concurrency concurrency that it says it offers
     * @param ownInFlight requests that this companion has in flight there
     */
    public void loadReported(int running, int concurrency, int ownInFlight, long nowNs) {
        if (lastStepNs != Long.MIN_VALUE && nowNs - lastStepNs < STEP_INTERVAL_NS) {
            return;
        }
        // Work that this companion did not send, such as requests that go on after their cancellation.
        int foreign = Math.max(0, running - ownInFlight);
        int target = Math.max(floor, Math.min(announced, concurrency - Math.min(foreign, Math.max(0, concurrency))));
        corrected += Integer.signum(target - corrected);
        lastStepNs = nowNs;
    }

    /** Restricts the limit to a share of it while the backend server warms up. */
    public void allow(double share) {
        allowedShare = Math.max(0, Math.min(1, share));
    }

    /** Requests that may run at once now; 0 only when no share is allowed. */
    public int limit() {
        return allowedShare == 0 ? 0 : Math.max(1, (int) Math.floor(corrected * allowedShare));
    }
}
