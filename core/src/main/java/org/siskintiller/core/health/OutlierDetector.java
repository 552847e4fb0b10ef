package org.siskintiller.core.health;

/**
 * Judges one backend server by the companion's own results. The load endpoint only counts as a sign that the process
 * answers at all, since it may report well while requests fail.
 */
public final class OutlierDetector {
    public static final long NO_RESPONSE_NS = 1_000_000_000L;
    public static final int CONSECUTIVE_FAILURES = 5;
    /** Refusals in a row without an answer that count as an outage when they last for {@link #REFUSING_NS}. */
    public static final int CONSECUTIVE_REFUSALS = 5;
    /** Shorter runs of refusals occur while grants for new slots are on their way to the backend server. */
    public static final long REFUSING_NS = 250_000_000L;

    /** Requests that usually take long may be silent for this multiple of their mean time. */
    private static final double SILENCE_FACTOR = 4;

    private static final long MAX_SILENCE_NS = 10_000_000_000L;
    private static final long FIRST_HOLD_NS = 1_000_000_000L;
    private static final long MAX_HOLD_NS = 30_000_000_000L;
    /** Time after which a return is tried without a sign of life, since the load endpoint may be the only fault. */
    private static final long UNSEEN_HOLD_NS = 30_000_000_000L;

    private static final long STEP_NS = 1_000_000_000L;
    /** Shares of the slots on return: a cold backend server is slow at first. */
    private static final double[] STEPS = {0.125, 0.25, 0.5, 0.75};

    private HealthState state = HealthState.SERVING;
    private String reason = "";
    private int inFlight;
    private long silentSinceNs;
    private long lastAnswerNs = Long.MIN_VALUE;
    private int failures;
    private int refusals;
    private long firstRefusalNs;
    private long meanServiceNs;
    private long longestRequestNs;
    private long ejectedNs;
    private long holdNs = FIRST_HOLD_NS;
    private boolean answeredSince;
    private int step;
    private long stepNs;

    /** Sets the longest time of a request, which bounds the silence before a first request was answered. */
    public void setLongestRequest(long durationNs) {
        longestRequestNs = durationNs;
    }

    public void dispatched(long nowNs) {
        if (inFlight == 0) {
            silentSinceNs = nowNs;
        }
        inFlight++;
    }

    public void answered(long durationNs, long nowNs) {
        ended(nowNs);
        lastAnswerNs = nowNs;
        failures = 0;
        refusals = 0;
        meanServiceNs = meanServiceNs == 0 ? durationNs : meanServiceNs + (durationNs - meanServiceNs) / 10;
        signOfLife(nowNs);
    }

    /** The head of a response arrived; its body may take long. */
    public void responseBegan(long nowNs) {
        silentSinceNs = nowNs;
        lastAnswerNs = nowNs;
        failures = 0;
        signOfLife(nowNs);
    }

    /** The backend server refused without running the request. */
    public void refused(long nowNs) {
        ended(nowNs);
        if (refusals == 0) {
            firstRefusalNs = nowNs;
        }
        refusals++;
        if (refusals >= CONSECUTIVE_REFUSALS && nowNs - firstRefusalNs >= REFUSING_NS) {
            eject("it refused " + refusals + " requests in a row", nowNs);
        }
    }

    /** The connection broke. */
    public void failed(long nowNs) {
        ended(nowNs);
        countFailure(nowNs);
    }

    /**
     * No answer came in time. This is no response, so the silence goes on. It is a failure only if nothing else was
     * answered meanwhile and it had more time than usual ones take, since many requests time out in an overload.
     */
    public void timedOut(long dispatchedNs, long nowNs) {
        inFlight--;
        if (lastAnswerNs < dispatchedNs && nowNs - dispatchedNs >= Math.min(NO_RESPONSE_NS, usualLimitNs())) {
            countFailure(nowNs);
        }
    }

    /** The request ended without anything sent, or it was cancelled, which says nothing about the backend server. */
    public void withdrawn() {
        inFlight--;
    }

    /** The load endpoint answered. */
    public void loadReported(long nowNs) {
        signOfLife(nowNs);
    }

    /** Checks times. Called after each event. */
    public void tick(long nowNs) {
        if (state != HealthState.EJECTED && inFlight > 0 && nowNs - silentSinceNs > silenceLimitNs()) {
            eject("no response for " + silenceLimitNs() / 1_000_000 + " ms", nowNs);
        }
        long waitNs = answeredSince ? holdNs : Math.max(holdNs, UNSEEN_HOLD_NS);
        if (state == HealthState.EJECTED && nowNs - ejectedNs >= waitNs) {
            state = HealthState.RETURNING;
            reason = answeredSince ? "it answers again" : "it is tried again";
            step = 0;
            stepNs = nowNs;
            silentSinceNs = nowNs;
            failures = 0;
            refusals = 0;
        }
        if (state == HealthState.RETURNING && nowNs - stepNs >= STEP_NS) {
            step++;
            stepNs = nowNs;
            if (step >= STEPS.length) {
                state = HealthState.SERVING;
                reason = "it served without failures while returning";
                holdNs = FIRST_HOLD_NS;
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
                return STEPS[step];
            default:
                return 0;
        }
    }

    private long silenceLimitNs() {
        return Math.min(MAX_SILENCE_NS, Math.max(NO_RESPONSE_NS, usualLimitNs()));
    }

    /** Time that few requests exceed. */
    private long usualLimitNs() {
        return meanServiceNs == 0 ? longestRequestNs : (long) (SILENCE_FACTOR * meanServiceNs);
    }

    private void ended(long nowNs) {
        inFlight--;
        silentSinceNs = nowNs;
    }

    private void countFailure(long nowNs) {
        failures++;
        if (failures >= CONSECUTIVE_FAILURES) {
            eject(failures + " failures in a row", nowNs);
        }
    }

    private void signOfLife(long nowNs) {
        if (state == HealthState.EJECTED && nowNs > ejectedNs) {
            answeredSince = true;
        }
    }

    private void eject(String why, long nowNs) {
        if (state == HealthState.EJECTED) {
            return;
        }
        // Each ejection during the return doubles the time until the next one.
        holdNs = state == HealthState.RETURNING ? Math.min(MAX_HOLD_NS, holdNs * 2) : FIRST_HOLD_NS;
        state = HealthState.EJECTED;
        reason = why;
        ejectedNs = nowNs;
        answeredSince = false;
        failures = 0;
        refusals = 0;
    }
}
