package org.siskintiller.router.backend;

import java.util.Objects;

import org.siskintiller.router.request.ForwardedRequest;

/**
 * Where a request waits.
 *
 * @param rank name of its rank
 * @param deadlineNs time until which it is worth its place in that rank
 */
record QueuePlace(String rank, long deadlineNs) {

    QueuePlace {
        Objects.requireNonNull(rank, "rank");
    }

    /** First place of a request: among the calls of running requests, by priority, or among the late ones. */
    static QueuePlace of(ForwardedRequest request, long nowNs) {
        if (request.internal()) {
            return new QueuePlace(GateSettings.INTERNAL, request.deadlineNs());
        }
        if (nowNs < request.objectiveNs()) {
            return new QueuePlace(GateSettings.rank(request.priority()), request.objectiveNs());
        }
        return late(request);
    }

    /** Place of a request that cannot meet its latency objective. */
    static QueuePlace late(ForwardedRequest request) {
        return new QueuePlace(GateSettings.LATE, request.deadlineNs());
    }
}
