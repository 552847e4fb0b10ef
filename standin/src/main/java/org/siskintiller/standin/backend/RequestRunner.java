package org.siskintiller.standin.backend;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Runs requests on a bounded number of places and commits their effect to the per-key state. */
final class RequestRunner {
    private static final int CONFLICT = 409;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int DEADLINE_PASSED = 504;
    private static final long PAUSE_STEP_NS = 10_000_000;
    private static final double NS_PER_MS = 1e6;

    private final BackendSettings settings;
    private final GrantTable grants;
    private final FreezeGate gate;
    private final Journal journal;
    private final LongSupplier clockMs;
    private final Runnable crash;
    private final String executionPrefix;
    private final Random random;
    private final Semaphore places;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong executions = new AtomicLong();
    private final Map<String, Long> versions = new ConcurrentHashMap<>();
    private final Map<String, Boolean> cancelled = new ConcurrentHashMap<>();
    private final long startNs = System.nanoTime();

    RequestRunner(
            BackendSettings settings,
            GrantTable grants,
            FreezeGate gate,
            Journal journal,
            LongSupplier clockMs,
            Runnable crash) {
        this.settings = settings;
        this.grants = grants;
        this.gate = gate;
        this.journal = journal;
        this.clockMs = clockMs;
        this.crash = crash;
        // Execution ids differ between servers and between runs of one server.
        this.executionPrefix = Long.toHexString(new Random().nextLong()) + "-";
        this.random = new Random(settings.seed());
        this.places = new Semaphore(settings.concurrency(), true);
    }

    /** Result of a request. */
    sealed interface Result {

        /** The request ran; version counts the commits of its key. */
        record Committed(String execution, long version) implements Result {}

        /** Nothing of the request took effect. */
        record NotRun(int status, String reason) implements Result {}

        /** The request failed; its caller learns nothing about its effect. */
        record Failed(int status, String reason) implements Result {}
    }

    int running() {
        return running.get();
    }

    /** Cancels a request that waits or runs; returns whether there is one. */
    boolean cancel(String requestId) {
        return cancelled.replace(requestId, true) != null;
    }

    Result run(BackendRequest request, BackendFaults faults) throws InterruptedException {
        if (chance(faults.shed())) {
            return new Result.NotRun(UNAVAILABLE, "shed");
        }
        cancelled.put(request.requestId(), false);
        try {
            if (!acquirePlace(request)) {
                return new Result.NotRun(UNAVAILABLE, "no free place");
            }
            running.incrementAndGet();
            try {
                return runOnPlace(request, faults);
            } finally {
                running.decrementAndGet();
                places.release();
            }
        } finally {
            cancelled.remove(request.requestId());
        }
    }

    boolean chance(double share) {
        synchronized (random) {
            return share > 0 && random.nextDouble() < share;
        }
    }

    private boolean acquirePlace(BackendRequest request) throws InterruptedException {
        if (places.tryAcquire()) {
            return true;
        }
        if (waiting.incrementAndGet() > settings.queueLimit()) {
            waiting.decrementAndGet();
            return false;
        }
        try {
            return places.tryAcquire(request.deadlineNs() - System.nanoTime(), TimeUnit.NANOSECONDS);
        } finally {
            waiting.decrementAndGet();
        }
    }

    private Result runOnPlace(BackendRequest request, BackendFaults faults) throws InterruptedException {
        gate.await();
        Result.NotRun refusal = refusal(request);
        if (refusal != null) {
            return refusal;
        }
        Execution execution = new Execution(request, executionPrefix + executions.incrementAndGet(), faults.leaving());
        journal.started(execution);
        boolean fails = chance(faults.errors());
        pause(request, serviceNs(request, faults));
        if (request.mark().equals(BackendRequest.CRASH)) {
            finish(execution, Execution.State.CRASHED, "marked request");
            crash.run();
        }
        if (request.mark().equals(BackendRequest.FREEZE)) {
            gate.freeze(settings.freezeMs());
        }
        gate.await();
        if (fails) {
            finish(execution, Execution.State.ABORTED, "injected error");
            return new Result.Failed(SERVER_ERROR, "injected error");
        }
        return commit(request, execution);
    }

    /** Nothing may change the grants between the last check and the commit, so both hold the table's monitor. */
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
        journal.ended(execution);
    }

    private Result.NotRun refusal(BackendRequest request) {
        if (cancelled.getOrDefault(request.requestId(), false)) {
            return new Result.NotRun(UNAVAILABLE, "cancelled");
        }
        if (request.isExpired()) {
            return new Result.NotRun(DEADLINE_PASSED, "deadline passed");
        }
        // Only requests that no slot decides about may come without one: those with neither key nor idempotency key.
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
            double left = 1 - ageMs / settings.coldStartMs();
            ns *= 1 + (settings.coldStartFactor() - 1) * left;
        }
        return (long) ns;
    }

    private void pause(BackendRequest request, long ns) throws InterruptedException {
        long dueNs = System.nanoTime() + ns;
        long leftNs = ns;
        while (leftNs > 0 && !cancelled.getOrDefault(request.requestId(), false)) {
            TimeUnit.NANOSECONDS.sleep(Math.min(leftNs, PAUSE_STEP_NS));
            leftNs = dueNs - System.nanoTime();
        }
    }
}
