package org.siskintiller.measure.random;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

import org.siskintiller.core.gate.DispatchOutcome;
import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.SlotId;

/** Backend server with fenced grants on its own clock. It reports every committed execution to the checker. */
final class FakeBackendServer {
    private static final long MS = 1_000_000;
    private static final int MAX_SERVICE_TIME_MS = 60;

    private final int index;
    private final boolean checksFence;
    private final EventQueue queue;
    private final Random random;
    private final Checker checker;
    private final double clockRate;
    private final Map<SlotId, Fence> grants = new HashMap<>();
    private long grantExpiryClockNs = Long.MIN_VALUE;
    private long frozenUntilNs;
    private int generation;

    FakeBackendServer(
            int index, boolean checksFence, EventQueue queue, Random random, Checker checker, double clockRate) {
        this.index = index;
        this.checksFence = checksFence;
        this.queue = queue;
        this.random = random;
        this.checker = checker;
        this.clockRate = clockRate;
    }

    boolean checksFence() {
        return checksFence;
    }

    long clockNs() {
        return (long) (queue.nowNs() * clockRate);
    }

    void freeze(long durationNs) {
        frozenUntilNs = queue.nowNs() + durationNs;
    }

    /** Ends all executions and starts a new server process, which has no grants. */
    void crash() {
        generation++;
        grants.clear();
        grantExpiryClockNs = Long.MIN_VALUE;
        frozenUntilNs = 0;
    }

    int generation() {
        return generation;
    }

    /** Replaces the grants, as PUT /grants does. */
    void grant(Map<SlotId, Fence> slots, long expiryClockNs) {
        grants.clear();
        grants.putAll(slots);
        grantExpiryClockNs = expiryClockNs;
    }

    /** Runs a request. onFinished receives the outcome; it is not called after a crash. */
    void run(GateRequest request, Fence fence, long remainingNs, Consumer<DispatchOutcome> onFinished) {
        if (queue.nowNs() < frozenUntilNs) {
            int startGeneration = generation;
            queue.after(frozenUntilNs - queue.nowNs(), () -> {
                if (startGeneration == generation) {
                    run(request, fence, remainingNs, onFinished);
                }
            });
            return;
        }
        if (!isGranted(request.slot(), fence)) {
            onFinished.accept(new DispatchOutcome.NotRun("no live grant for this fence"));
            return;
        }
        long startNs = queue.nowNs();
        long serviceTimeNs = (1 + random.nextInt(MAX_SERVICE_TIME_MS)) * MS;
        boolean isInTime = serviceTimeNs <= remainingNs;
        int startGeneration = generation;
        queue.after(
                Math.min(serviceTimeNs, remainingNs),
                () -> commit(request, fence, startNs, isInTime, startGeneration, onFinished));
    }

    private void commit(
            GateRequest request,
            Fence fence,
            long startNs,
            boolean isInTime,
            int startGeneration,
            Consumer<DispatchOutcome> onFinished) {
        if (startGeneration != generation) {
            return;
        }
        if (queue.nowNs() < frozenUntilNs) {
            queue.after(
                    frozenUntilNs - queue.nowNs(),
                    () -> commit(request, fence, startNs, isInTime, startGeneration, onFinished));
            return;
        }
        if (!isInTime || !isGranted(request.slot(), fence)) {
            onFinished.accept(new DispatchOutcome.NotRun("aborted before the commit"));
            return;
        }
        checker.recordCommit(index, request, fence, startNs, queue.nowNs());
        onFinished.accept(new DispatchOutcome.Answered(200, "text/plain", Bytes.EMPTY, queue.nowNs() - startNs));
    }

    private boolean isGranted(SlotId slot, Fence fence) {
        if (!checksFence || slot == null) {
            return true;
        }
        return clockNs() < grantExpiryClockNs && fence.equals(grants.get(slot));
    }
}
