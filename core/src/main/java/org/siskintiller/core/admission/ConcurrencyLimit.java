package org.siskintiller.core.admission;

/**
 * Maximum number of concurrent requests at a backend server. It starts at the announced concurrency and follows the
 * load reports of the backend server one step at a time, since a report may be outdated or wrong.
 */
public final class ConcurrencyLimit {
    private static final long STEP_INTERVAL_NS = 1_000_000_000L;
    /** Minimum limit as a share of the announced concurrency. A wrong report costs at most half of the capacity. */
    private static final double MIN_SHARE = 0.5;

    private int announced;
    private int minLimit;
    private int current;
    private double allowedShare = 1;
    private long lastStepNs = Long.MIN_VALUE;

    public ConcurrencyLimit(int announced) {
        announce(announced);
    }

    /** Resets the limit to an announced concurrency, for example after a restart of the backend server. */
    public void announce(int concurrency) {
        if (concurrency < 1) {
            throw new IllegalArgumentException("announced concurrency must be at least 1");
        }
        announced = concurrency;
        minLimit = (int) Math.ceil(concurrency * MIN_SHARE);
        current = concurrency;
    }

    /**
     * Moves the limit by at most one towards the reported load.
     *
     * @param running running requests that the backend server reports
     * @param concurrency concurrency that the backend server reports
     * @param ownInFlight requests that this companion has in flight at the backend server
     */
    public void loadReported(int running, int concurrency, int ownInFlight, long nowNs) {
        if (lastStepNs != Long.MIN_VALUE && nowNs - lastStepNs < STEP_INTERVAL_NS) {
            return;
        }
        // Requests that this companion does not count as in flight, such as those that run on after a cancellation.
        int untracked = Math.max(0, running - ownInFlight);
        int target =
                Math.max(minLimit, Math.min(announced, concurrency - Math.min(untracked, Math.max(0, concurrency))));
        current += Integer.signum(target - current);
        lastStepNs = nowNs;
    }

    /** Restricts the limit to a share while the backend server warms up. */
    public void setAllowedShare(double share) {
        allowedShare = Math.max(0, Math.min(1, share));
    }

    /** Current maximum number of concurrent requests; 0 only if the allowed share is 0. */
    public int limit() {
        return allowedShare == 0 ? 0 : Math.max(1, (int) Math.floor(current * allowedShare));
    }
}
