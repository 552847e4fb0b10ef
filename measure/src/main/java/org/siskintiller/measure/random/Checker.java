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

/** Checks the promises from what backend servers executed and callers were told. */
final class Checker {
    private static final int KEPT_EXECUTIONS = 64;
    /** Stated target: a leaving backend server gets no new work after a few seconds. */
    private static final long LEAVING_NS = 3_000_000_000L;

    private final Map<SlotId, List<Execution>> bySlot = new HashMap<>();
    private final Map<String, RequestId> byIdempotencyKey = new HashMap<>();
    private final Set<RequestId> committed = new HashSet<>();
    private final Set<RequestId> refusedNotRun = new HashSet<>();
    private final Map<Integer, Long> leavingSinceNs = new HashMap<>();
    private final EventQueue queue;
    private final RunCounters counters;
    private final Set<String> keyedServices;

    private record Execution(int server, Fence fence, long startNs, long endNs) {}

    Checker(EventQueue queue, RunCounters counters, Set<String> keyedServices) {
        this.queue = queue;
        this.counters = counters;
        this.keyedServices = keyedServices;
    }

    void committed(int server, GateRequest request, Fence fence, long startNs, long endNs) {
        counters.add("committed");
        committed.add(request.id());
        Invariant.NOT_RUN_IS_TRUE.check(
                !refusedNotRun.contains(request.id()), "request " + request.id() + " ran after its not-run refusal");
        if (request.idempotencyKey() != null) {
            RequestId earlier = byIdempotencyKey.putIfAbsent(request.idempotencyKey(), request.id());
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
        List<Execution> executions = bySlot.computeIfAbsent(slot, key -> new ArrayList<>());
        for (Execution earlier : executions) {
            boolean overlaps = earlier.endNs > latest.startNs && latest.endNs > earlier.startNs;
            boolean fenceFell = earlier.endNs < latest.startNs && latest.fence.compareTo(earlier.fence) < 0;
            Invariant.SOLE_OWNER.check(
                    earlier.server == latest.server || !overlaps && !fenceFell,
                    slot + ": " + earlier + " and " + latest);
        }
        executions.add(latest);
        if (executions.size() > KEPT_EXECUTIONS) {
            executions.remove(0);
        }
    }

    /** A planned stop of the server's companion was requested. */
    void leaving(int server) {
        leavingSinceNs.putIfAbsent(server, queue.nowNs());
    }

    void returned(int server) {
        leavingSinceNs.remove(server);
    }

    /** A request was written to the server. */
    void written(int server) {
        Long since = leavingSinceNs.get(server);
        Invariant.NO_WORK_WHEN_LEAVING.check(
                since == null || queue.nowNs() - since <= LEAVING_NS,
                "server " + server + " got work " + (since == null ? 0 : queue.nowNs() - since) / 1_000_000
                        + " ms after its stop was requested");
    }

    void refusedNotRun(RequestId id, String reason) {
        counters.add("refused " + reason);
        Invariant.NOT_RUN_IS_TRUE.check(
                !committed.contains(id), "request " + id + " was refused as not-run (" + reason + ") after it ran");
        refusedNotRun.add(id);
    }
}
