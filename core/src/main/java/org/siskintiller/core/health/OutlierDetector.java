package org.siskintiller.core.health;

/**
 * Detects a failing backend server by the results of the companion's requests. The load endpoint only shows that the
 * process responds, since it may report no problem while requests fail.
 */
public final class OutlierDetector {
    public static final long MIN_RESPONSE_TIMEOUT_NS = 1_000_000_000L;
    public static final int CONSECUTIVE_FAILURES = 5;
    /** Consecutive refusals without a response that count as an outage if they last for {@link #MIN_REFUSING_NS}. */
    public static final int CONSECUTIVE_REFUSALS = 5;
    /** Shorter series of refusals occur until grants for new slots reach the backend server. */
    public static final long MIN_REFUSING_NS = 250_000_000L;

    /** For slow requests the response timeout is this multiple of their mean service time. */
    private static final double RESPONSE_TIMEOUT_FACTOR = 4;

    private static final long MAX_RESPONSE_TIMEOUT_NS = 10_000_000_000L;
    private static final long MIN_EJECTION_NS = 1_000_000_000L;
    private static final long MAX_EJECTION_NS = 30_000_000_000L;
    /** Time after which the return starts even without a response, since only the load endpoint may be faulty. */
    private static final long EJECTION_WITHOUT_RESPONSE_NS = 30_000_000_000L;

    private static final long RETURN_STEP_NS = 1_000_000_000L;
    /** Shares of the slots during the return, since a cold backend server is slow at first. */
    private static final double[] RETURN_SHARES = {0.125, 0.25, 0.5, 0.75};

    private HealthState state = HealthState.SERVING;
    private String reason = "";
    private int inFlight;
    private long noResponseSinceNs;
    private long lastResponseNs = Long.MIN_VALUE;
    private int failures;
    private int refusals;
    private long firstRefusalNs;
    private long meanServiceNs;
    private long maxRequestNs;
    private long ejectedNs;
    private long ejectionNs = MIN_EJECTION_NS;
    private boolean hasRespondedSince;
    private int returnStep;
    private long returnStepNs;

    /** Sets the maximum duration of a request, which bounds the response timeout until a first request completes. */
    public void setMaxRequestDuration(long durationNs) {
        maxRequestNs = durationNs;
    }

    public void dispatched(long nowNs) {
        if (inFlight == 0) {
            noResponseSinceNs = nowNs;
        }
        inFlight++;
    }

    public void completed(long durationNs, long nowNs) {
        requestEnded(nowNs);
        lastResponseNs = nowNs;
        failures = 0;
        refusals = 0;
        meanServiceNs = meanServiceNs == 0 ? durationNs : meanServiceNs + (durationNs - meanServiceNs) / 10;
        recordResponse(nowNs);
    }

    /** The head of a response arrived; its body may take a long time. */
    public void responseStarted(long nowNs) {
        noResponseSinceNs = nowNs;
        lastResponseNs = nowNs;
        failures = 0;
        recordResponse(nowNs);
    }

    /** The backend server refused without running the request. */
    public void refused(long nowNs) {
        requestEnded(nowNs);
        if (refusals == 0) {
            firstRefusalNs = nowNs;
        }
        refusals++;
        if (refusals >= CONSECUTIVE_REFUSALS && nowNs - firstRefusalNs >= MIN_REFUSING_NS) {
            eject("it refused " + refusals + " requests in a row", nowNs);
        }
    }

    /** The connection broke. */
    public void failed(long nowNs) {
        requestEnded(nowNs);
        countFailure(nowNs);
    }

    /**
     * A request timed out. The time without a response continues. It counts as a failure only if no other request got a
     * response meanwhile and it had more time than usual ones take, since many requests time out in an overload.
     */
    public void timedOut(long dispatchedNs, long nowNs) {
        inFlight--;
        if (lastResponseNs < dispatchedNs
                && nowNs - dispatchedNs >= Math.min(MIN_RESPONSE_TIMEOUT_NS, usualLimitNs())) {
            countFailure(nowNs);
        }
    }

    /** The request was not sent or was cancelled, which gives no information about the backend server. */
    public void withdrawn() {
        inFlight--;
    }

    /** The load endpoint responded. */
    public void loadReported(long nowNs) {
        recordResponse(nowNs);
    }

    /** Applies time limits. Called after each event. */
    public void tick(long nowNs) {
        if (state != HealthState.EJECTED && inFlight > 0 && nowNs - noResponseSinceNs > responseTimeoutNs()) {
            eject("no response for " + responseTimeoutNs() / 1_000_000 + " ms", nowNs);
        }
        long waitNs = hasRespondedSince ? ejectionNs : Math.max(ejectionNs, EJECTION_WITHOUT_RESPONSE_NS);
        if (state == HealthState.EJECTED && nowNs - ejectedNs >= waitNs) {
            state = HealthState.RETURNING;
            reason = hasRespondedSince ? "it answers again" : "it is tried again";
            returnStep = 0;
            returnStepNs = nowNs;
            noResponseSinceNs = nowNs;
            failures = 0;
            refusals = 0;
        }
        if (state == HealthState.RETURNING && nowNs - returnStepNs >= RETURN_STEP_NS) {
            returnStep++;
            returnStepNs = nowNs;
            if (returnStep >= RETURN_SHARES.length) {
                state = HealthState.SERVING;
                reason = "it served without failures while returning";
                ejectionNs = MIN_EJECTION_NS;
            }
        }
    }

    public HealthState state() {
        return state;
    }

    public String reason() {
        return reason;
    }

    /** Share of the concurrency limit that may be used now. */
    public double allowedShare() {
        switch (state) {
            case SERVING:
                return 1;
            case RETURNING:
                return RETURN_SHARES[returnStep];
            default:
                return 0;
        }
    }

    private long responseTimeoutNs() {
        return Math.min(MAX_RESPONSE_TIMEOUT_NS, Math.max(MIN_RESPONSE_TIMEOUT_NS, usualLimitNs()));
    }

    /** Duration that few requests exceed. */
    private long usualLimitNs() {
        return meanServiceNs == 0 ? maxRequestNs : (long) (RESPONSE_TIMEOUT_FACTOR * meanServiceNs);
    }

    private void requestEnded(long nowNs) {
        inFlight--;
        noResponseSinceNs = nowNs;
    }

    private void countFailure(long nowNs) {
        failures++;
        if (failures >= CONSECUTIVE_FAILURES) {
            eject(failures + " failures in a row", nowNs);
        }
    }

    private void recordResponse(long nowNs) {
        if (state == HealthState.EJECTED && nowNs > ejectedNs) {
            hasRespondedSince = true;
        }
    }

    private void eject(String newReason, long nowNs) {
        if (state == HealthState.EJECTED) {
            return;
        }
        // Each ejection during a return doubles the time until the next return.
        ejectionNs = state == HealthState.RETURNING ? Math.min(MAX_EJECTION_NS, ejectionNs * 2) : MIN_EJECTION_NS;
        state = HealthState.EJECTED;
        reason = newReason;
        ejectedNs = nowNs;
        hasRespondedSince = false;
        failures = 0;
        refusals = 0;
    }
}
