package org.siskintiller.router.peer;

import java.util.concurrent.TimeUnit;

import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Log lines of the requests of other companions, with the values that led to them. */
final class PeerLog {
    /** Time on its way from which a cancellation, or the request before it, is logged as late. */
    private static final long LATE_CANCELLATION_MS = 100;

    private PeerLog() {}

    static void refusedForLink(String requestId, long arrivalNs, long objectiveNs, long retryAfterMs) {
        EventLog.log(
                LogEvent.ATTEMPT_REFUSED,
                "request",
                requestId,
                "by",
                "link",
                "arrival_ms",
                TimeUnit.NANOSECONDS.toMillis(arrivalNs),
                "objective_ms",
                TimeUnit.NANOSECONDS.toMillis(objectiveNs),
                "retry_after_ms",
                retryAfterMs);
    }

    static void refusedForMemory(String requestId, int bodyBytes, long heldBytes) {
        EventLog.log(
                LogEvent.ATTEMPT_REFUSED,
                "request",
                requestId,
                "by",
                "memory",
                "body_bytes",
                bodyBytes,
                "held_bytes",
                heldBytes);
    }

    /** Logs a cancellation that was late, or whose request was. */
    static void cancelled(String requestId, String from, long requestTransitMs, long transitMs) {
        if (Math.max(requestTransitMs, transitMs) < LATE_CANCELLATION_MS) {
            return;
        }
        EventLog.log(
                LogEvent.CANCELLATION_LATE,
                "request",
                requestId,
                "from",
                from,
                "request_transit_ms",
                requestTransitMs,
                "transit_ms",
                transitMs);
    }
}
