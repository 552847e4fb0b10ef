package org.siskintiller.standin.caller;

/**
 * Request of a caller, which may be sent several times.
 *
 * @param tag unique text that the response contains
 * @param key null for a request without key
 * @param idempotencyKey null for a request without one
 * @param intendedNs monotonic time at which the request should be sent; its latency includes a late send
 */
record CallerRequest(StreamSpec stream, String tag, String key, String idempotencyKey, long intendedNs) {

    String keyOrEmpty() {
        return key == null ? "" : key;
    }
}
