package org.siskintiller.router.request;

/**
 * Names of the header fields that the router reads or sets.
 *
 * @param requestId id of one send of a request by a caller, returned in the response
 * @param deadlineMs time for which the caller waits
 * @param expectedInstance backend server that the request is for; any other rejects it
 * @param callerService service of the machine where the request began
 * @param key key of a request to a keyed service
 * @param notExecuted states that a backend server rejected the request without running it
 * @param load load of a backend server: running requests, waiting requests and slots
 */
public record HeaderNames(
        String requestId,
        String deadlineMs,
        String expectedInstance,
        String callerService,
        String key,
        String notExecuted,
        String load) {}
