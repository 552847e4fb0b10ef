package org.siskintiller.router.request;

/**
 * The request has not run and will not run because of this send.
 *
 * @param retryAfterMs time after which a repeat may be served
 * @param arrived whether it reached the backend server, which counts against the retry budget
 */
public record Refusal(RefusalReason reason, long retryAfterMs, boolean arrived) {}
