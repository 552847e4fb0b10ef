package org.siskintiller.router.request;

/**
 * Times of a request in ns of the monotonic clock.
 *
 * @param arrivedNs arrival of the request
 * @param lastResponseNs latest start of a response. While the process stops it is earlier than the deadline.
 * @param requestedDeadlineNs end of the time that the caller and the route allow
 * @param callerDeadlineNs end of the time that the caller waits
 */
record RequestTimes(long arrivedNs, long lastResponseNs, long requestedDeadlineNs, long callerDeadlineNs) {
    RequestTimes {
        if (lastResponseNs - requestedDeadlineNs > 0 || requestedDeadlineNs - callerDeadlineNs > 0) {
            throw new IllegalArgumentException("deadlines of a request out of order");
        }
    }
}
