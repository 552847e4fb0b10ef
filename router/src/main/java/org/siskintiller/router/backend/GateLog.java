package org.siskintiller.router.backend;

import org.siskintiller.core.path.BackendPresence.Announcement;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.request.RefusalReason;

/** Log lines of the decisions of the gate, with the values that led to them. */
final class GateLog {
    private static final long NS_PER_MS = 1_000_000;

    private GateLog() {}

    static void announced(Announcement announcement) {
        EventLog.log(
                LogEvent.BACKEND_ANNOUNCED,
                "backend",
                announcement.id(),
                "run",
                announcement.run(),
                "slots",
                announcement.slots());
    }

    static void refused(GateCall call, RefusalReason reason, int queued, int running, double meanServiceNs) {
        EventLog.log(
                LogEvent.ATTEMPT_REFUSED,
                "request",
                call.request().requestId(),
                "by",
                "gate",
                "reason",
                reason,
                "rank",
                call.rank(),
                "queued",
                queued,
                "running",
                running,
                "mean_ms",
                Math.round(meanServiceNs / NS_PER_MS),
                "waited_ms",
                (System.nanoTime() - call.arrivedNs()) / NS_PER_MS);
    }

    static void rejected(GateCall call, int status, int running) {
        EventLog.log(
                LogEvent.ATTEMPT_REFUSED,
                "request",
                call.request().requestId(),
                "by",
                "backend",
                "status",
                status,
                "running",
                running,
                "free_slots",
                call.hasFreeSlots());
    }

    static void failed(GateCall call, String cause, String backend) {
        EventLog.log(
                LogEvent.ATTEMPT_FAILED, "request", call.request().requestId(), "cause", cause, "backend", backend);
    }

    /** A request that ran for a few milliseconds only was sent after its caller had disconnected. */
    static void cancelled(GateCall call, long lagMs) {
        long nowNs = System.nanoTime();
        boolean running = call.state() == GateCall.State.RUNNING;
        EventLog.log(
                LogEvent.ATTEMPT_CANCELLED,
                "request",
                call.request().requestId(),
                "state",
                call.state(),
                "waited_ms",
                ((running ? call.dispatchedNs() : nowNs) - call.arrivedNs()) / NS_PER_MS,
                "ran_ms",
                running ? (nowNs - call.dispatchedNs()) / NS_PER_MS : 0,
                "lag_ms",
                lagMs);
    }
}
