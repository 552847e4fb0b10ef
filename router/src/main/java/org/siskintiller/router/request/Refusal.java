package org.siskintiller.router.request;

/**
 * Outcome of a send that did not run the request and will not run it.
 *
 * @param retryAfterMs time after which a retry may be served
 * @param reachedBackend whether the request reached the backend server, which counts against the retry budget
 */
public record Refusal(RefusalReason reason, long retryAfterMs, boolean reachedBackend) {}
