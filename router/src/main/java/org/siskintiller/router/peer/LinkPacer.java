package org.siskintiller.router.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import org.siskintiller.core.path.LinkBudget;
import org.siskintiller.core.path.LinkForecast;

/**
 * Sends the bodies of downloads in the order of their arrival, below the rate of the machine's link. Bytes that wait here
 * can be dropped when their caller leaves, and do not delay small messages, unlike bytes that wait in the link.
 */
final class LinkPacer {
    /** Rest of the link for messages that are not paced: status, leases, the store and callers of this machine. */
    private static final double BODY_SHARE = 0.8;

    private final EventLoop loop;
    private final LinkBudget budget;
    private final LinkForecast forecast;
    private final Deque<Write> waiting = new ArrayDeque<>();
    private long waitingBytes;
    private boolean drainScheduled;

    LinkPacer(EventLoop loop, long linkBytesPerSecond) {
        this.loop = loop;
        this.budget = new LinkBudget(linkBytesPerSecond * BODY_SHARE);
        this.forecast = new LinkForecast(linkBytesPerSecond * BODY_SHARE);
    }

    /**
     * Runs the write when the link has room for it.
     *
     * @param isNeeded evaluated before the write; a write that is no longer needed is dropped
     */
    void write(int bytes, BooleanSupplier isNeeded, Runnable write) {
        waiting.addLast(new Write(bytes, isNeeded, write));
        waitingBytes += bytes;
        if (!drainScheduled) {
            drain();
        }
    }

    /** Counts bytes that are sent at once, such as those of a small response. */
    void countSent(int bytes) {
        budget.take(bytes, System.nanoTime());
    }

    /** Forecast for the bodies that this object sends. */
    LinkForecast forecast() {
        return forecast;
    }

    /** Time until a response to a new request has passed the link. */
    long arrivalNs(long nowNs) {
        return forecast.arrivalNs(waitingBytes, budget.waitNs(nowNs));
    }

    int waiting() {
        return waiting.size();
    }

    private void drain() {
        long nowNs = System.nanoTime();
        while (!waiting.isEmpty()) {
            Write next = waiting.peekFirst();
            boolean isNeeded = next.isNeeded.getAsBoolean();
            if (isNeeded && !budget.tryTake(next.bytes, nowNs)) {
                scheduleDrain(budget.waitNs(nowNs));
                return;
            }
            waiting.pollFirst();
            waitingBytes -= next.bytes;
            if (isNeeded) {
                next.action.run();
            }
        }
    }

    private void scheduleDrain(long delayNs) {
        drainScheduled = true;
        loop.schedule(
                () -> {
                    drainScheduled = false;
                    drain();
                },
                delayNs,
                TimeUnit.NANOSECONDS);
    }

    private record Write(int bytes, BooleanSupplier isNeeded, Runnable action) {}
}
