package org.siskintiller.standin.backend;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Executes requests with bounded concurrency and commits their effects to the per-key state. */
final class RequestRunner {
    private static final int CONFLICT = 409;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int DEADLINE_PASSED = 504;
    private static final long CANCEL_CHECK_INTERVAL_NS = 10_000_000;
    private static final double NS_PER_MS = 1e6;

    private final BackendSettings settings;
    private final GrantTable grants;
    private final FreezeGate freezeGate;
    private final Journal journal;
    private final LongSupplier clockMs;
    private final Runnable crashAction;
    private final String executionPrefix;
    private final Random random;
    private final Semaphore executionPermits;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong executionCount = new AtomicLong();
    private final Map<String, Long> versions = new ConcurrentHashMap<>();
    private final Map<String, Boolean> cancelledByRequestId = new ConcurrentHashMap<>();
    private final long startNs = System.nanoTime();

    RequestRunner(
            BackendSettings settings,
            GrantTable grants,
            FreezeGate freezeGate,
            Journal journal,
            LongSupplier clockMs,
            Runnable crashAction) {
        this.settings = settings;
        this.grants = grants;
        this.freezeGate = freezeGate;
        this.journal = journal;
        this.clockMs = clockMs;
        this.crashAction = crashAction;
        // Makes execution ids unique across servers and across runs of one server.
        this.executionPrefix = Long.toHexString(new Random().nextLong()) + "-";
        this.random = new Random(settings.seed());
        this.executionPermits = new Semaphore(settings.concurrency(), true);
    }

    /** Result of a request. */
    sealed interface Result {

        /** The request was executed; version counts the commits of its key. */
        record Committed(String execution, long version) implements Result {}

        /** The request had no effect. */
        record NotRun(int status, String reason) implements Result {}

        /** The request failed; the response does not state whether it had an effect. */
        record Failed(int status, String reason) implements Result {}
    }

    int running() {
        return running.get();
    }

    /** Cancels a waiting or running request; returns false if there is none. */
    boolean cancel(String requestId) {
        return cancelledByRequestId.replace(requestId, true) != null;
    }

    Result run(BackendRequest request, BackendFaults faults) throws InterruptedException {
        if (drawFault(faults.shed())) {
            return new Result.NotRun(UNAVAILABLE, "shed");
        }
        cancelledByRequestId.put(request.requestId(), false);
        try {
            if (!acquirePermit(request)) {
                return new Result.NotRun(UNAVAILABLE, "no free place");
            }
            running.incrementAndGet();
            try {
                return runWithPermit(request, faults);
            } finally {
                running.decrementAndGet();
                executionPermits.release();
            }
        } finally {
            cancelledByRequestId.remove(request.requestId());
        }
    }

    boolean drawFault(double share) {
        synchronized (random) {
            return share > 0 && random.nextDouble() < share;
        }
    }

    private boolean acquirePermit(BackendRequest request) throws InterruptedException {
        if (executionPermits.tryAcquire()) {
            return true;
        }
        if (waiting.incrementAndGet() > settings.queueLimit()) {
            waiting.decrementAndGet();
            return false;
        }
        try {
            return executionPermits.tryAcquire(request.deadlineNs() - System.nanoTime(), TimeUnit.NANOSECONDS);
        } finally {
            waiting.decrementAndGet();
        }
    }

    private Result runWithPermit(BackendRequest request, BackendFaults faults) throws InterruptedException {
        freezeGate.await();
        Result.NotRun refusal = refusal(request);
        if (refusal != null) {
            return refusal;
        }
        Execution execution =
                new Execution(request, executionPrefix + executionCount.incrementAndGet(), faults.leaving());
        journal.recordStart(execution);
        boolean injectError = drawFault(faults.errors());
        sleepUnlessCancelled(request, serviceNs(request, faults));
        if (request.requestedFault().equals(BackendRequest.CRASH)) {
            finish(execution, Execution.State.CRASHED, "marked request");
            crashAction.run();
        }
        if (request.requestedFault().equals(BackendRequest.FREEZE)) {
            freezeGate.freeze(settings.freezeMs());
        }
        freezeGate.await();
        if (injectError) {
            finish(execution, Execution.State.ABORTED, "injected error");
            return new Result.Failed(SERVER_ERROR, "injected error");
        }
        return commit(request, execution);
    }

    /** Checks again and commits, both under the monitor of the grants, so that they do not change in between. */
    private Result commit(BackendRequest request, Execution execution) {
        synchronized (grants) {
            Result.NotRun refusal = refusal(request);
            if (refusal != null) {
                finish(execution, Execution.State.ABORTED, refusal.reason());
                return refusal;
            }
            long version = versions.merge(request.key(), 1L, Long::sum);
            finish(execution, Execution.State.COMMITTED, "");
            return new Result.Committed(execution.id(), version);
        }
    }

    private void finish(Execution execution, Execution.State state, String reason) {
        execution.end(state, reason);
        journal.recordEnd(execution);
    }

    private Result.NotRun refusal(BackendRequest request) {
        if (cancelledByRequestId.getOrDefault(request.requestId(), false)) {
            return new Result.NotRun(UNAVAILABLE, "cancelled");
        }
        if (request.isExpired()) {
            return new Result.NotRun(DEADLINE_PASSED, "deadline passed");
        }
        // Only requests that belong to no slot need no grant: those with neither key nor idempotency key.
        boolean needsGrant =
                !request.key().isEmpty() || !request.idempotencyKey().isEmpty() || request.slot() >= 0;
        if (settings.checksFence()
                && needsGrant
                && !grants.isLive(request.slot(), request.fence(), clockMs.getAsLong())) {
            return new Result.NotRun(CONFLICT, "no live grant");
        }
        return null;
    }

    private long serviceNs(BackendRequest request, BackendFaults faults) {
        double ns;
        synchronized (random) {
            ns = settings.serviceTimes().sampleNs(request.path(), random) * faults.slowFactor();
        }
        double ageMs = (System.nanoTime() - startNs) / NS_PER_MS;
        if (ageMs < settings.coldStartMs()) {
            double remainingShare = 1 - ageMs / settings.coldStartMs();
            ns *= 1 + (settings.coldStartFactor() - 1) * remainingShare;
        }
        return (long) ns;
    }

    private void sleepUnlessCancelled(BackendRequest request, long ns) throws InterruptedException {
        long sleepEndNs = System.nanoTime() + ns;
        long remainingNs = ns;
        while (remainingNs > 0 && !cancelledByRequestId.getOrDefault(request.requestId(), false)) {
            TimeUnit.NANOSECONDS.sleep(Math.min(remainingNs, CANCEL_CHECK_INTERVAL_NS));
            remainingNs = sleepEndNs - System.nanoTime();
        }
    }
}
