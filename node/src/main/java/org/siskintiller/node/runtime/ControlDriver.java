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

/** Runs the control plane on a thread of its own and executes its actions there. */
final class ControlDriver implements AutoCloseable {
    private static final long TICK_INTERVAL_MS = 50;

    private final ControlPlane plane;
    private final Consumer<ControlAction> actionHandler;
    private final Consumer<RuntimeException> onFailure;
    private final ScheduledExecutorService thread = Threads.scheduled("control");
    private volatile ClusterState state;
    private volatile boolean holdsLease;
    private boolean failed;

    ControlDriver(ControlPlane plane, Consumer<ControlAction> actionHandler, Consumer<RuntimeException> onFailure) {
        this.plane = plane;
        this.actionHandler = actionHandler;
        this.onFailure = onFailure;
        this.state = plane.state();
    }

    void start() {
        thread.scheduleAtFixedRate(() -> process(new ControlEvent.Tick()), 0, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Queues an event for the control plane. Events after the end of the incarnation are dropped. */
    void submit(ControlEvent event) {
        try {
            thread.execute(() -> process(event));
        } catch (RejectedExecutionException e) {
            EventLog.log(LogEvent.PEER_UNREACHABLE, "event after the end of the incarnation");
        }
    }

    /** Applies records and returns when the control plane has processed them. */
    void apply(List<LogEntry> entries, boolean atTail) throws InterruptedException {
        CountDownLatch applied = new CountDownLatch(1);
        try {
            thread.execute(() -> {
                process(new ControlEvent.RecordsRead(entries, atTail));
                applied.countDown();
            });
        } catch (RejectedExecutionException e) {
            throw new InterruptedException("the incarnation has ended");
        }
        while (!applied.await(1, TimeUnit.SECONDS)) {
            if (thread.isShutdown()) {
                throw new InterruptedException("the incarnation has ended");
            }
        }
    }

    /** Returns the state after the last processed event. May be called on any thread. */
    ClusterState state() {
        return state;
    }

    boolean holdsLease() {
        return holdsLease;
    }

    private void process(ControlEvent event) {
        if (failed) {
            return;
        }
        try {
            List<ControlAction> actions = plane.handle(event, Clock.nowNs());
            state = plane.state();
            holdsLease = plane.holdsLease(Clock.nowNs());
            actions.forEach(actionHandler);
        } catch (RuntimeException e) {
            // After a violated invariant, no further decision of this process is reliable.
            failed = true;
            onFailure.accept(e);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
