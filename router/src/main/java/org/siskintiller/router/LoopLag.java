package org.siskintiller.router;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.netty.channel.EventLoop;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/**
 * Detects whether the event loop stalled, and covers what arrived meanwhile. After a stall, a request and the end of its
 * connection may both be pending in the socket, so new requests are handled only after the sockets have been read once
 * more. Used on the event loop only.
 */
public final class LoopLag {
    private static final long TICK_INTERVAL_MS = 100;
    /** Lag from which callers may have disconnected: their shortest deadlines are some hundred milliseconds. */
    private static final long LAG_THRESHOLD_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Reads of the sockets after a stall: one accepts connections, one reads their requests, one their ends. */
    private static final int BACKLOG_READS = 3;

    private final EventLoop loop;
    private final Timer lagTimer;
    private long nextTickNs = Long.MAX_VALUE;
    /** Length of the stall whose backlog is being read; 0 if there is none. */
    private long stallNs;
    /** Number of the latest stall. */
    private int stalls;

    public LoopLag(EventLoop loop, MetricRegistry metrics) {
        this.loop = loop;
        this.lagTimer = metrics.timer("loop.lag");
    }

    /** Starts the measurement. */
    public void start() {
        loop.execute(this::tick);
    }

    /** Whether data that arrived during a stall may still be unread. */
    public boolean hasBacklog() {
        return backlogNs() > 0;
    }

    /** Runs the task now, or after the next read of the sockets while there may be a backlog. */
    public void runAfterPendingReads(Runnable task) {
        if (hasBacklog()) {
            runAfterReads(1, task);
        } else {
            task.run();
        }
    }

    /** Earliest time at which data that is read now may have arrived. */
    public long earliestArrivalNs() {
        return System.nanoTime() - backlogNs();
    }

    /** Time in milliseconds for which data that is read now may have waited unread. */
    public long lagMs() {
        return TimeUnit.NANOSECONDS.toMillis(backlogNs());
    }

    private long backlogNs() {
        long overdueNs = overdueNs();
        return Math.max(stallNs, overdueNs >= LAG_THRESHOLD_NS ? overdueNs : 0);
    }

    private long overdueNs() {
        return nextTickNs == Long.MAX_VALUE ? 0 : Math.max(0, System.nanoTime() - nextTickNs);
    }

    private void tick() {
        long lateNs = overdueNs();
        lagTimer.update(lateNs, TimeUnit.NANOSECONDS);
        nextTickNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TICK_INTERVAL_MS);
        if (lateNs >= LAG_THRESHOLD_NS) {
            EventLog.log(LogEvent.LOOP_STALLED, "lag_ms", TimeUnit.NANOSECONDS.toMillis(lateNs));
            stallNs = Math.max(stallNs, lateNs);
            int stall = ++stalls;
            runAfterReads(BACKLOG_READS, () -> backlogRead(stall));
        }
        loop.schedule(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void backlogRead(int stall) {
        if (stall == stalls) {
            stallNs = 0;
        }
    }

    /**
     * Runs the task after the sockets have been read the given number of times. The loop reads the sockets, then runs the
     * timers that are due. A timer without delay runs before the next read if it is set while sockets are read, and after
     * it if it is set by another timer.
     */
    private void runAfterReads(int reads, Runnable task) {
        Runnable next = reads == 0 ? task : () -> runAfterReads(reads - 1, task);
        loop.schedule(next, 0, TimeUnit.NANOSECONDS);
    }
}
