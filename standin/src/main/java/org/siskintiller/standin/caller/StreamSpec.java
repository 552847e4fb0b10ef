package org.siskintiller.standin.caller;

/**
 * One kind of requests of a mix.
 *
 * @param ratePerSecond arrivals per second at equal distances
 * @param startMs time of the first arrival after the start of the run
 * @param stopMs time after the start of the run at which arrivals end
 * @param idempotencyKeys whether requests carry a UUID version 7 as Idempotency-Key
 * @param resends how often a request is sent again after a failure or refusal
 * @param repeats share of successful requests sent once more, to compare the answers
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
