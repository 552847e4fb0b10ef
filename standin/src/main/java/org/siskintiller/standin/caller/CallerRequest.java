package org.siskintiller.standin.caller;

/**
 * One request of a caller, which may be sent several times.
 *
 * @param tag unique text that the answer repeats
 * @param key null for a request without key
 * @param idempotencyKey null for a request without one
 * @param intendedNs monotonic time of the arrival; latency counts from it, also when the send was late
 */
record CallerRequest(StreamSpec stream, String tag, String key, String idempotencyKey, long intendedNs) {

    String keyOrEmpty() {
        return key == null ? "" : key;
    }
}
