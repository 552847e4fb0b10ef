package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.core.invariant.Invariant;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.SlotId;

/** Checks invariants against the executions at backend servers and the refusals that callers receive. */
final class Checker {
    private static final int MAX_EXECUTIONS_PER_SLOT = 64;
    /** The stated target is that a leaving backend server gets no new work after a few seconds. */
    private static final long MAX_WORK_AFTER_STOP_NS = 3_000_000_000L;

    private final Map<SlotId, List<Execution>> executionsBySlot = new HashMap<>();
    private final Map<String, RequestId> requestByIdempotencyKey = new HashMap<>();
    private final Set<RequestId> committedRequests = new HashSet<>();
    private final Set<RequestId> notRunRequests = new HashSet<>();
    private final Map<Integer, Long> stopRequestedNs = new HashMap<>();
    private final EventQueue queue;
    private final RunCounters counters;
    private final Set<String> keyedServices;

    private record Execution(int server, Fence fence, long startNs, long endNs) {}

    Checker(EventQueue queue, RunCounters counters, Set<String> keyedServices) {
        this.queue = queue;
        this.counters = counters;
        this.keyedServices = keyedServices;
    }

    void recordCommit(int server, GateRequest request, Fence fence, long startNs, long endNs) {
        counters.add("committed");
        committedRequests.add(request.id());
        Invariant.NOT_RUN_IS_TRUE.check(
                !notRunRequests.contains(request.id()), "request " + request.id() + " ran after its not-run refusal");
        if (request.idempotencyKey() != null) {
            RequestId earlier = requestByIdempotencyKey.putIfAbsent(request.idempotencyKey(), request.id());
            Invariant.AT_MOST_ONCE.check(
                    earlier == null,
                    "idempotency key " + request.idempotencyKey() + " of " + request.slot() + " ran twice, at server "
                            + server + " with fence " + fence);
        }
        if (request.slot() != null && keyedServices.contains(request.service())) {
            checkSoleOwner(request.slot(), new Execution(server, fence, startNs, endNs));
        }
    }

    private void checkSoleOwner(SlotId slot, Execution latest) {
        List<Execution> executions = executionsBySlot.computeIfAbsent(slot, key -> new ArrayList<>());
        for (Execution earlier : executions) {
            boolean isOverlapping = earlier.endNs > latest.startNs && latest.endNs > earlier.startNs;
            boolean hasLowerFence = earlier.endNs < latest.startNs && latest.fence.compareTo(earlier.fence) < 0;
            Invariant.SOLE_OWNER.check(
                    earlier.server == latest.server || !isOverlapping && !hasLowerFence,
                    slot + ": " + earlier + " and " + latest);
        }
        executions.add(latest);
        if (executions.size() > MAX_EXECUTIONS_PER_SLOT) {
            executions.remove(0);
        }
    }

    /** Records that a planned stop of the server's companion was requested. */
    void recordStopRequested(int server) {
        stopRequestedNs.putIfAbsent(server, queue.nowNs());
    }

    void recordRestart(int server) {
        stopRequestedNs.remove(server);
    }

    /** Checks a request that is written to the server: none may follow long after the server's stop was requested. */
    void checkWritten(int server) {
        Long requestedNs = stopRequestedNs.get(server);
        Invariant.NO_WORK_WHEN_LEAVING.check(
                requestedNs == null || queue.nowNs() - requestedNs <= MAX_WORK_AFTER_STOP_NS,
                "server " + server + " got work " + (requestedNs == null ? 0 : queue.nowNs() - requestedNs) / 1_000_000
                        + " ms after its stop was requested");
    }

    void recordNotRun(RequestId id, String reason) {
        counters.add("refused " + reason);
        Invariant.NOT_RUN_IS_TRUE.check(
                !committedRequests.contains(id),
                "request " + id + " was refused as not-run (" + reason + ") after it ran");
        notRunRequests.add(id);
    }
}
