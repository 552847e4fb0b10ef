package org.siskintiller.router;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.netty.channel.EventLoop;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/**
 * Detects whether the event loop lags behind its timers. After a stall, a request and the end of its connection may
 * both be pending in the socket, so new requests are handled only after the sockets have been read once more. Used on
 * the event loop only.
 */
public final class LoopLag {
    private static final long TICK_INTERVAL_MS = 100;
    /** Lag from which callers may have disconnected: their shortest deadlines are some hundred milliseconds. */
    private static final long LAG_THRESHOLD_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Timers that are due later than now run after the next read of the sockets. */
    private static final long NEXT_READ_DELAY_MS = 1;

    private final EventLoop loop;
    private final Timer lagTimer;
    private long nextTickNs = Long.MAX_VALUE;
    private long lagNs;
    private boolean lagging;

    public LoopLag(EventLoop loop, MetricRegistry metrics) {
        this.loop = loop;
        this.lagTimer = metrics.timer("loop.lag");
    }

    /** Starts the measurement. */
    public void start() {
        loop.execute(this::tick);
    }

    /** Runs the task now, or after the next read of the sockets while the loop lags. */
    public void runAfterPendingReads(Runnable task) {
        if (lagging || isOverdue()) {
            loop.schedule(task, NEXT_READ_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            task.run();
        }
    }

    private boolean isOverdue() {
        return nextTickNs != Long.MAX_VALUE && System.nanoTime() - nextTickNs >= LAG_THRESHOLD_NS;
    }

    /** Lateness of the timers in milliseconds: of the last one, or of the next one if that is due already. */
    public long lagMs() {
        long overdueNs = nextTickNs == Long.MAX_VALUE ? 0 : System.nanoTime() - nextTickNs;
        return TimeUnit.NANOSECONDS.toMillis(Math.max(lagNs, overdueNs));
    }

    private void tick() {
        if (nextTickNs != Long.MAX_VALUE) {
            lagNs = Math.max(0, System.nanoTime() - nextTickNs);
            lagTimer.update(lagNs, TimeUnit.NANOSECONDS);
        }
        // Timers run before the next read of the sockets, so a late timer marks the loop as lagging until the next one.
        boolean wasLagging = lagging;
        lagging = lagNs >= LAG_THRESHOLD_NS;
        if (lagging && !wasLagging) {
            EventLog.log(LogEvent.LOOP_STALLED, "lag_ms", lagMs());
        }
        nextTickNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TICK_INTERVAL_MS);
        loop.schedule(this::tick, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
}
