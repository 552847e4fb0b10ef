package org.siskintiller.node.runtime;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;

import org.siskintiller.core.gate.DispatchOutcome;
import org.siskintiller.core.gate.Gate;
import org.siskintiller.core.gate.GateDecision;
import org.siskintiller.core.gate.GateDecision.Refusal;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.gate.GateStats;
import org.siskintiller.core.gate.RefusalKind;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.node.backend.BackendCall;
import org.siskintiller.node.backend.BackendClient;
import org.siskintiller.node.backend.CallerBody;
import org.siskintiller.node.backend.CancellationSignal;
import org.siskintiller.node.request.Problem;

/**
 * Drives the gate under a lock. Decisions are executed in order under the same lock, so executing one must not block;
 * requests wait for decisions and transfer bodies on their own threads.
 */
final class GateDriver {
    /** Wait beyond the deadline, by which the gate normally decides; bounds the wait if a decision is missing. */
    private static final long DECISION_GRACE_NS = TimeUnit.SECONDS.toNanos(1);

    private final Gate gate;
    private final GateDecisionHandler decisionHandler;
    private final BackendClient backend;
    private final Executor cancelThreads;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<RequestId, Pending> pending = new ConcurrentHashMap<>();

    GateDriver(Gate gate, GateDecisionHandler decisionHandler, BackendClient backend, Executor cancelThreads) {
        this.gate = gate;
        this.decisionHandler = decisionHandler;
        this.backend = backend;
        this.cancelThreads = cancelThreads;
    }

    void submit(GateEvent event) {
        lock.lock();
        try {
            for (GateDecision decision : gate.handle(event, Clock.nowNs(), Clock.wallMs())) {
                apply(decision);
            }
        } finally {
            lock.unlock();
        }
    }

    GateStats stats() {
        lock.lock();
        try {
            return gate.stats();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the suspicion of a request with this fingerprint, for other companions. */
    List<Suspicion> suspicions(long fingerprint) {
        lock.lock();
        try {
            return gate.suspicion(fingerprint, Clock.nowNs()).map(List::of).orElse(List.of());
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of requests that wait or run. */
    int inFlight() {
        return pending.size();
    }

    private boolean mayDispatch(RequestId id) {
        lock.lock();
        try {
            return gate.mayDispatch(id, Clock.nowNs());
        } finally {
            lock.unlock();
        }
    }

    private void apply(GateDecision decision) {
        if (decision instanceof GateDecision.Dispatch dispatch) {
            complete(dispatch.id(), decision);
        } else if (decision instanceof GateDecision.Refuse refuse) {
            complete(refuse.id(), decision);
        } else if (decision instanceof GateDecision.Replay replay) {
            complete(replay.id(), decision);
        } else if (decision instanceof GateDecision.Cancel cancel) {
            Pending pendingRequest = pending.get(cancel.id());
            if (pendingRequest != null) {
                cancelThreads.execute(pendingRequest.cancel::cancel);
            }
        } else {
            decisionHandler.handle(decision);
        }
    }

    private void complete(RequestId id, GateDecision decision) {
        Pending pendingRequest = pending.get(id);
        if (pendingRequest != null && !pendingRequest.decision.complete(decision)) {
            pendingRequest.laterDecision = decision;
        }
    }

    /** The caller of a request disconnected. */
    void callerDisconnected(RequestId id) {
        submit(new GateEvent.CallerDisconnected(id));
    }

    /** Serves a request on the calling thread. */
    Attempt serve(GatedRequest request) throws IOException {
        RequestId id = request.gate().id();
        Pending pendingRequest = new Pending();
        if (pending.putIfAbsent(id, pendingRequest) != null) {
            return failed(new Refusal(RefusalKind.OUTCOME_UNKNOWN, "the request id is in use", 0));
        }
        try {
            submit(new GateEvent.Arrived(request.gate()));
            GateDecision decision = awaitDecision(request, pendingRequest);
            if (decision instanceof GateDecision.Dispatch dispatch) {
                return dispatch(request, dispatch, pendingRequest);
            }
            return respond(request, decision);
        } finally {
            pending.remove(id);
        }
    }

    private GateDecision awaitDecision(GatedRequest request, Pending pendingRequest) {
        long waitNs = request.gate().deadlineNs() - Clock.nowNs() + DECISION_GRACE_NS;
        try {
            return pendingRequest.decision.get(Math.max(DECISION_GRACE_NS, waitNs), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            callerDisconnected(request.gate().id());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            callerDisconnected(request.gate().id());
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
        // The gate may have dispatched in the meantime. Nothing was sent to the backend server, so the refusal is
        // correct
        // once the gate has received this outcome.
        if (pendingRequest.decision.getNow(null) instanceof GateDecision.Dispatch dispatch) {
            submit(new GateEvent.Finished(dispatch.id(), new DispatchOutcome.NotRun("the caller is gone")));
        }
        return new GateDecision.Refuse(
                request.gate().id(), new Refusal(RefusalKind.DEADLINE_TOO_SHORT, "the gate gave no decision", 0));
    }

    private Attempt dispatch(GatedRequest request, GateDecision.Dispatch dispatch, Pending pendingRequest)
            throws IOException {
        DispatchOutcome outcome = new DispatchOutcome.Broken("unexpected error in the companion");
        try {
            outcome = backend.call(new BackendCall(
                    request.head(),
                    new CallerBody(request.body(), () -> pendingRequest.callerDisconnected = true),
                    request.sink(),
                    request.gate().slot() == null ? -1 : request.gate().slot().slot(),
                    dispatch.fence(),
                    request.gate().rank(),
                    dispatch.deadlineNs(),
                    () -> mayDispatch(dispatch.id()),
                    () -> submit(new GateEvent.ResponseStarted(dispatch.id())),
                    !request.gate().idempotent() && !request.gate().generatedKey(),
                    pendingRequest.cancel));
        } finally {
            if (outcome instanceof DispatchOutcome.TimedOut && pendingRequest.callerDisconnected) {
                callerDisconnected(dispatch.id());
            }
            submit(new GateEvent.Finished(dispatch.id(), outcome));
        }
        return finish(request, outcome, pendingRequest);
    }

    private Attempt finish(GatedRequest request, DispatchOutcome outcome, Pending pendingRequest) throws IOException {
        if (request.sink().aborted()) {
            return new Attempt.Responded(false);
        }
        if (outcome instanceof DispatchOutcome.Answered) {
            request.sink().finish();
            return new Attempt.Responded(true);
        }
        if (request.sink().started()) {
            EventLog.log(LogEvent.RESPONSE_CUT, request.gate().id() + ": " + outcome);
            request.sink().abort(outcome.toString());
            return new Attempt.Responded(false);
        }
        if (pendingRequest.laterDecision != null) {
            return respond(request, pendingRequest.laterDecision);
        }
        return failed(fallback(outcome));
    }

    private static Refusal fallback(DispatchOutcome outcome) {
        if (outcome instanceof DispatchOutcome.NotRun notRun) {
            return new Refusal(RefusalKind.BACKEND_REFUSED, notRun.reason(), 0);
        }
        if (outcome instanceof DispatchOutcome.TimedOut) {
            return new Refusal(RefusalKind.DEADLINE_PASSED, "no answer within the deadline", 0);
        }
        return new Refusal(RefusalKind.BACKEND_FAILED, outcome.toString(), 0);
    }

    private static Attempt respond(GatedRequest request, GateDecision decision) throws IOException {
        if (decision instanceof GateDecision.Replay replay) {
            Optional<Problem> problem = StoredResponse.problem(replay.record());
            if (problem.isPresent()) {
                return new Attempt.Failed(problem.get(), false);
            }
            StoredResponse.send(replay.record(), request.sink());
            return new Attempt.Responded(true);
        }
        return failed(((GateDecision.Refuse) decision).refusal());
    }

    private static Attempt failed(Refusal refusal) {
        return new Attempt.Failed(Problem.of(refusal), false);
    }

    /** Request that waits for a decision or runs at the backend server. */
    private static final class Pending {
        private final CompletableFuture<GateDecision> decision = new CompletableFuture<>();
        private final CancellationSignal cancel = new CancellationSignal();
        private volatile GateDecision laterDecision;
        private volatile boolean callerDisconnected;
    }
}
