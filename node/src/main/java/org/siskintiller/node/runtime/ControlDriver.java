package org.siskintiller.node.runtime;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.control.ControlPlane;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Drives the control plane on one thread. */
final class ControlDriver implements AutoCloseable {
    private static final long TICK_MS = 50;

    private final ControlPlane plane;
    private final Consumer<ControlAction> effects;
    private final Consumer<RuntimeException> onFailure;
    private final ScheduledExecutorService thread = Threads.scheduled("control");
    private volatile ClusterState state;
    private volatile boolean holdsLease;
    private boolean failed;

    ControlDriver(ControlPlane plane, Consumer<ControlAction> effects, Consumer<RuntimeException> onFailure) {
        this.plane = plane;
        this.effects = effects;
        this.onFailure = onFailure;
        this.state = plane.state();
    }

    void start() {
        thread.scheduleAtFixedRate(() -> step(new ControlEvent.Tick()), 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Hands over an event. Events after the end of the incarnation are dropped. */
    void submit(ControlEvent event) {
        try {
            thread.execute(() -> step(event));
        } catch (RejectedExecutionException e) {
            EventLog.log(LogEvent.PEER_UNREACHABLE, "event after the end of the incarnation");
        }
    }

    /** Applies records and waits until that is done. */
    void apply(List<LogEntry> entries, boolean atTail) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        try {
            thread.execute(() -> {
                step(new ControlEvent.RecordsRead(entries, atTail));
                done.countDown();
            });
        } catch (RejectedExecutionException e) {
            throw new InterruptedException("the incarnation has ended");
        }
        while (!done.await(1, TimeUnit.SECONDS)) {
            if (thread.isShutdown()) {
                throw new InterruptedException("the incarnation has ended");
            }
        }
    }

    /** State that the control plane has applied. Safe to read on any thread. */
    ClusterState state() {
        return state;
    }

    boolean holdsLease() {
        return holdsLease;
    }

    private void step(ControlEvent event) {
        if (failed) {
            return;
        }
        try {
            List<ControlAction> actions = plane.handle(event, Clock.nowNs());
            state = plane.state();
            holdsLease = plane.holdsLease(Clock.nowNs());
            actions.forEach(effects);
        } catch (RuntimeException e) {
            // After a violated invariant nothing that this process decides can be trusted.
            failed = true;
            onFailure.accept(e);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
