package org.siskintiller.standin.backend;

import java.util.Locale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskintiller.standin.http.HttpBodies;

/** Execution of a request, as recorded in the journal. Its monitor guards its state. */
final class Execution {
    private final BackendRequest request;
    private final String id;
    private final boolean leaving;
    private final long startWallMs = System.currentTimeMillis();
    private final long startNs = System.nanoTime();
    private long endWallMs;
    private long endNs;
    private State state = State.RUNNING;
    private String reason = "";

    /** Progress of an execution. */
    enum State {
        RUNNING,
        COMMITTED,
        ABORTED,
        CRASHED
    }

    Execution(BackendRequest request, String id, boolean leaving) {
        this.request = request;
        this.id = id;
        this.leaving = leaving;
    }

    String id() {
        return id;
    }

    synchronized void end(State newState, String newReason) {
        endWallMs = System.currentTimeMillis();
        endNs = System.nanoTime();
        state = newState;
        reason = newReason;
    }

    /** Converts to a journal entry. Times in ns are of the monotonic clock, which all processes of a machine share. */
    synchronized ObjectNode toJson() {
        ObjectNode json = HttpBodies.object()
                .put("execution", id)
                .put("requestId", request.requestId())
                .put("idempotencyKey", request.idempotencyKey())
                .put("key", request.key())
                .put("tag", request.tag())
                .put("slot", request.slot())
                .put(
                        "fence",
                        request.fence() == null
                                ? ""
                                : request.fence().version() + "."
                                        + request.fence().candidateIndex())
                .put("customer", request.customer())
                .put("rank", request.rank())
                .put("path", request.path())
                .put("leaving", leaving)
                .put("startWallMs", startWallMs)
                .put("startNs", startNs);
        if (state != State.RUNNING) {
            json.put("endWallMs", endWallMs).put("endNs", endNs);
        }
        return json.put("outcome", state.name().toLowerCase(Locale.ROOT)).put("reason", reason);
    }
}
