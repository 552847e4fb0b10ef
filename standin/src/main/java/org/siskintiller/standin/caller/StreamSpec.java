package org.siskintiller.standin.caller;

/**
 * Stream of similar requests in a mix.
 *
 * @param ratePerSecond requests per second, at equal intervals
 * @param startMs time of the first request after the start of the run
 * @param stopMs time after the start of the run at which the stream ends
 * @param idempotencyKeys whether requests carry a UUID version 7 as Idempotency-Key
 * @param resends maximum number of times a request is resent after a failure or refusal
 * @param repeats share of successful requests that are sent once more, to compare the responses
 */
record StreamSpec(
        String name,
        String service,
        String method,
        String path,
        double ratePerSecond,
        long startMs,
        long stopMs,
        KeyChooser keys,
        String rank,
        String customer,
        long deadlineMs,
        boolean idempotencyKeys,
        int resends,
        long resendDelayMs,
        double repeats,
        int bodyBytes) {

    StreamSpec {
        if (!(ratePerSecond > 0) || startMs < 0 || deadlineMs < 1 || resends < 0 || resendDelayMs < 0) {
            throw new IllegalArgumentException("stream " + name + ": rate and deadline_ms must be above 0, start_ms,"
                    + " resends and resend_delay_ms at least 0");
        }
        if (!(repeats >= 0 && repeats <= 1) || bodyBytes < 0) {
            throw new IllegalArgumentException(
                    "stream " + name + ": repeats must be from 0 to 1, body_bytes at least 0");
        }
    }
}
