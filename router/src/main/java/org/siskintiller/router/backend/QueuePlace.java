package org.siskintiller.router.backend;

import java.util.Objects;

import org.siskintiller.router.request.ForwardedRequest;

/**
 * Place of a request in the queue.
 *
 * @param rank name of the rank
 * @param deadlineNs time until which the request may wait in that rank
 */
record QueuePlace(String rank, long deadlineNs) {

    QueuePlace {
        Objects.requireNonNull(rank, "rank");
    }

    /** Returns the first place of a request: in the internal rank, in the rank of its priority or in the late rank. */
    static QueuePlace of(ForwardedRequest request, long nowNs) {
        if (request.internal()) {
            return new QueuePlace(GateSettings.INTERNAL, request.deadlineNs());
        }
        if (nowNs < request.objectiveNs()) {
            return new QueuePlace(GateSettings.rank(request.priority()), request.objectiveNs());
        }
        return late(request);
    }

    /** Returns the place of a request that cannot meet its latency objective. */
    static QueuePlace late(ForwardedRequest request) {
        return new QueuePlace(GateSettings.LATE, request.deadlineNs());
    }
}
