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
    /** Share of its remaining time for which a late request waits. */
    private static final double MAX_LATE_WAIT_SHARE = 0.6;

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
        return late(request, nowNs);
    }

    /**
     * Returns the place of a request that cannot meet its latency objective. It waits for a part of its remaining time
     * only: a caller that is refused then can still return, and a request that starts then can still end in time.
     */
    static QueuePlace late(ForwardedRequest request, long nowNs) {
        long remainingNs = Math.max(0, request.deadlineNs() - nowNs);
        return new QueuePlace(GateSettings.LATE, nowNs + Math.round(remainingNs * MAX_LATE_WAIT_SHARE));
    }
}
