package org.siskintiller.core.gate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.siskintiller.core.gate.GateDecision.Refusal;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;

/** State machine of the request path in front of one backend server. Not safe for use by several threads. */
public final class Gate {
    private static final int QUEUE_LIMIT = 1000;
    private static final long RETRY_AFTER_MS = 100;

    private final BackendServer backendServer;
    private final Incarnation own;
    private final Slots slots = new Slots();
    private final Deque<GateRequest> queue = new ArrayDeque<>();
    private final Map<RequestId, Running> running = new HashMap<>();
    private final Map<RefusalKind, Long> refused = new EnumMap<>(RefusalKind.class);
    private long leaseExpiryNs = Long.MIN_VALUE;
    private boolean draining;
    private long dispatched;
    private long answered;

    public Gate(BackendServer backendServer, Incarnation own) {
        this.backendServer = Objects.requireNonNull(backendServer, "backendServer");
        this.own = Objects.requireNonNull(own, "own");
    }

    /**
     * Applies one event.
     *
     * @param nowNs monotonic time
     * @param wallMs wall clock time
     */
    public List<GateDecision> handle(GateEvent event, long nowNs, long wallMs) {
        List<GateDecision> decisions = new ArrayList<>();
        if (event instanceof GateEvent.Arrived) {
            arrive(((GateEvent.Arrived) event).request(), nowNs, decisions);
        } else if (event instanceof GateEvent.Finished) {
            finish((GateEvent.Finished) event, decisions);
        } else if (event instanceof GateEvent.SlotsOpened) {
            slots.open((GateEvent.SlotsOpened) event);
        } else if (event instanceof GateEvent.SlotsClosing) {
            slots.close((GateEvent.SlotsClosing) event);
        } else if (event instanceof GateEvent.LeaseExtended) {
            leaseExpiryNs = ((GateEvent.LeaseExtended) event).expiryNs();
        } else if (event instanceof GateEvent.DrainStarted) {
            draining = true;
        }
        dispatchWaiting(nowNs, decisions);
        return decisions;
    }

    /** Whether a dispatched request may be written to the backend server at this moment. */
    public boolean mayDispatch(RequestId id, long nowNs) {
        Running request = running.get(id);
        return request != null
                && hasLease(nowNs)
                && nowNs < request.request.deadlineNs()
                && Objects.equals(request.fence, fenceOf(request.request));
    }

    public GateStats stats() {
        return new GateStats(
                queue.size(),
                running.size(),
                backendServer.concurrency(),
                slots.size(),
                dispatched,
                answered,
                refused,
                List.of());
    }

    private void arrive(GateRequest request, long nowNs, List<GateDecision> decisions) {
        if (draining) {
            refuse(request.id(), RefusalKind.DRAINING, "the backend server is draining", decisions);
        } else if (!hasLease(nowNs)) {
            refuse(request.id(), RefusalKind.NO_LEASE, own + " has no session lease", decisions);
        } else if (request.slot() != null && fenceOf(request) == null) {
            refuse(request.id(), RefusalKind.NOT_OWNER, request.slot() + " is not open here", decisions);
        } else if (nowNs >= request.deadlineNs()) {
            refuse(request.id(), RefusalKind.DEADLINE_TOO_SHORT, "the deadline has passed", decisions);
        } else if (queue.size() >= QUEUE_LIMIT) {
            refuse(request.id(), RefusalKind.QUEUE_FULL, "the queue is full", decisions);
        } else {
            queue.add(request);
        }
    }

    private void finish(GateEvent.Finished event, List<GateDecision> decisions) {
        if (running.remove(event.id()) == null) {
            return;
        }
        if (event.outcome() instanceof DispatchOutcome.Answered) {
            answered++;
        } else if (event.outcome() instanceof DispatchOutcome.NotRun) {
            refuse(
                    event.id(),
                    RefusalKind.BACKEND_REFUSED,
                    ((DispatchOutcome.NotRun) event.outcome()).reason(),
                    decisions);
        } else if (event.outcome() instanceof DispatchOutcome.TimedOut) {
            refuse(event.id(), RefusalKind.DEADLINE_PASSED, "no answer within the deadline", decisions);
        } else {
            refuse(
                    event.id(),
                    RefusalKind.BACKEND_FAILED,
                    ((DispatchOutcome.Broken) event.outcome()).reason(),
                    decisions);
        }
    }

    private void dispatchWaiting(long nowNs, List<GateDecision> decisions) {
        while (!queue.isEmpty() && running.size() < backendServer.concurrency()) {
            GateRequest request = queue.poll();
            Fence fence = fenceOf(request);
            if (!hasLease(nowNs)) {
                refuse(request.id(), RefusalKind.NO_LEASE, own + " has no session lease", decisions);
            } else if (request.slot() != null && fence == null) {
                refuse(request.id(), RefusalKind.NOT_OWNER, request.slot() + " was closed", decisions);
            } else if (nowNs >= request.deadlineNs()) {
                refuse(request.id(), RefusalKind.DEADLINE_TOO_SHORT, "the deadline passed in the queue", decisions);
            } else {
                running.put(request.id(), new Running(request, fence));
                dispatched++;
                decisions.add(new GateDecision.Dispatch(request.id(), fence, request.deadlineNs()));
            }
        }
    }

    private Fence fenceOf(GateRequest request) {
        return request.slot() == null ? null : slots.fence(request.slot());
    }

    private boolean hasLease(long nowNs) {
        return leaseExpiryNs != Long.MIN_VALUE && nowNs < leaseExpiryNs;
    }

    private void refuse(RequestId id, RefusalKind kind, String detail, List<GateDecision> decisions) {
        refused.merge(kind, 1L, Long::sum);
        decisions.add(new GateDecision.Refuse(id, new Refusal(kind, detail, RETRY_AFTER_MS)));
    }

    /** Dispatched request with the fence it was dispatched under. */
    private record Running(GateRequest request, Fence fence) {}
}
