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
 * Drives the gate under a lock. Decisions are carried out under the same lock and in their order, so effects must not
 * block; the waiting and the transfer of bodies happen on the threads of the requests.
 */
final class GateDriver {
    /** The gate decides by the deadline; this only bounds the wait if a decision is missing. */
    private static final long VERDICT_GRACE_NS = TimeUnit.SECONDS.toNanos(1);

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

    /** Suspicion of a request with this fingerprint, for other companions. */
    List<Suspicion> suspicions(long fingerprint) {
        lock.lock();
        try {
            return gate.suspicion(fingerprint, Clock.nowNs()).map(List::of).orElse(List.of());
        } finally {
            lock.unlock();
        }
    }

    /** Requests that wait or run. */
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
            decide(dispatch.id(), decision);
        } else if (decision instanceof GateDecision.Refuse refuse) {
            decide(refuse.id(), decision);
        } else if (decision instanceof GateDecision.Replay replay) {
            decide(replay.id(), decision);
        } else if (decision instanceof GateDecision.Cancel cancel) {
            Pending waiting = pending.get(cancel.id());
            if (waiting != null) {
                cancelThreads.execute(waiting.cancel::cancel);
            }
        } else {
            decisionHandler.handle(decision);
        }
    }

    private void decide(RequestId id, GateDecision decision) {
        Pending waiting = pending.get(id);
        if (waiting != null && !waiting.verdict.complete(decision)) {
            waiting.afterwards = decision;
        }
    }

    /** The caller of a request went away. */
    void callerDisconnected(RequestId id) {
        submit(new GateEvent.CallerDisconnected(id));
    }

    /** Serves a request on the calling thread. */
    Attempt serve(GatedRequest request) throws IOException {
        RequestId id = request.gate().id();
        Pending waiting = new Pending();
        if (pending.putIfAbsent(id, waiting) != null) {
            return failed(new Refusal(RefusalKind.OUTCOME_UNKNOWN, "the request id is in use", 0));
        }
        try {
            submit(new GateEvent.Arrived(request.gate()));
            GateDecision verdict = await(request, waiting);
            if (verdict instanceof GateDecision.Dispatch dispatch) {
                return dispatch(request, dispatch, waiting);
            }
            return answer(request, verdict);
        } finally {
            pending.remove(id);
        }
    }

    private GateDecision await(GatedRequest request, Pending waiting) {
        long waitNs = request.gate().deadlineNs() - Clock.nowNs() + VERDICT_GRACE_NS;
        try {
            return waiting.verdict.get(Math.max(VERDICT_GRACE_NS, waitNs), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            callerDisconnected(request.gate().id());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            callerDisconnected(request.gate().id());
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
        // The gate may have dispatched meanwhile. Nothing was written, so the refusal is exact once it knows.
        if (waiting.verdict.getNow(null) instanceof GateDecision.Dispatch dispatch) {
            submit(new GateEvent.Finished(dispatch.id(), new DispatchOutcome.NotRun("the caller is gone")));
        }
        return new GateDecision.Refuse(
                request.gate().id(), new Refusal(RefusalKind.DEADLINE_TOO_SHORT, "the gate gave no decision", 0));
    }

    private Attempt dispatch(GatedRequest request, GateDecision.Dispatch dispatch, Pending waiting) throws IOException {
        DispatchOutcome outcome = new DispatchOutcome.Broken("unexpected error in the companion");
        try {
            outcome = backend.call(new BackendCall(
                    request.head(),
                    new CallerBody(request.body(), () -> waiting.callerLost = true),
                    request.sink(),
                    request.gate().slot() == null ? -1 : request.gate().slot().slot(),
                    dispatch.fence(),
                    request.gate().rank(),
                    dispatch.deadlineNs(),
                    () -> mayDispatch(dispatch.id()),
                    () -> submit(new GateEvent.ResponseStarted(dispatch.id())),
                    !request.gate().idempotent() && !request.gate().generatedKey(),
                    waiting.cancel));
        } finally {
            if (outcome instanceof DispatchOutcome.TimedOut && waiting.callerLost) {
                callerDisconnected(dispatch.id());
            }
            submit(new GateEvent.Finished(dispatch.id(), outcome));
        }
        return conclude(request, outcome, waiting);
    }

    private Attempt conclude(GatedRequest request, DispatchOutcome outcome, Pending waiting) throws IOException {
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
        if (waiting.afterwards != null) {
            return answer(request, waiting.afterwards);
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

    private static Attempt answer(GatedRequest request, GateDecision decision) throws IOException {
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

    /** Request that waits for a decision or runs. */
    private static final class Pending {
        private final CompletableFuture<GateDecision> verdict = new CompletableFuture<>();
        private final CancellationSignal cancel = new CancellationSignal();
        private volatile GateDecision afterwards;
        private volatile boolean callerLost;
    }
}
