package org.siskintiller.router.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.siskintiller.core.path.BodyTurns;
import org.siskintiller.core.path.LinkBudget;
import org.siskintiller.core.path.LinkForecast;

/**
 * Sends the bodies of downloads in the order of their arrival, and those of requests in turn, below the rate of the
 * machine's link. Bytes that wait here can be dropped when their caller leaves, and do not delay small messages, unlike
 * bytes that wait in the link. Also paces the credit for bodies that this machine receives.
 */
public final class LinkPacer {
    /** Rest of the link for messages that are not paced: status, leases, the store and callers of this machine. */
    static final double BODY_SHARE = 0.8;

    private final EventLoop loop;
    private final long linkBytesPerSecond;
    private final LinkBudget budget;
    private final LinkForecast forecast;
    private final Deque<Write> waiting = new ArrayDeque<>();
    private final BodyTurns<PartSender> requestBodies = new BodyTurns<>();
    private long waitingBytes;
    private ScheduledFuture<?> timer;
    /** Whether the last part that passed was one of a request. */
    private boolean requestWasLast;

    public LinkPacer(EventLoop loop, long linkBytesPerSecond) {
        this.loop = loop;
        this.linkBytesPerSecond = linkBytesPerSecond;
        this.budget = new LinkBudget(linkBytesPerSecond * BODY_SHARE);
        this.forecast = new LinkForecast(linkBytesPerSecond * BODY_SHARE);
    }

    /**
     * Runs the write when the link has room for it.
     *
     * @param isNeeded evaluated before the write; a write that is no longer needed is dropped
     */
    void write(int bytes, BooleanSupplier isNeeded, Runnable write) {
        boolean isFirst = waiting.isEmpty();
        waiting.addLast(new Write(bytes, isNeeded, write));
        waitingBytes += bytes;
        if (isFirst) {
            drain();
        }
    }

    /** Sends more bytes of the body of a request when the link has room for them. */
    void add(PartSender body, int bytes) {
        requestBodies.add(body, bytes);
        if (timer == null) {
            drain();
        }
    }

    /** Drops the bytes of the body of a request that still wait. */
    void remove(PartSender body) {
        requestBodies.remove(body);
    }

    long linkBytesPerSecond() {
        return linkBytesPerSecond;
    }

    EventLoop loop() {
        return loop;
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
        return forecast.arrivalNs(waitingBytes + requestBodies.waitingBytes(), budget.waitNs(nowNs));
    }

    int waiting() {
        return waiting.size();
    }

    /** Bytes of request bodies that wait for the link. */
    public long waitingRequestBytes() {
        return requestBodies.waitingBytes();
    }

    private void drain() {
        stopTimer();
        long nowNs = System.nanoTime();
        while (true) {
            dropUnneeded();
            boolean hasResponse = !waiting.isEmpty();
            boolean hasRequest = !requestBodies.isEmpty();
            if (!hasResponse && !hasRequest) {
                return;
            }
            long waitNs = hasResponse ? budget.waitNs(nowNs) : budget.waitWithoutBurstNs(nowNs);
            if (waitNs > 0) {
                timer = loop.schedule(this::drain, waitNs, TimeUnit.NANOSECONDS);
                return;
            }
            requestWasLast = hasRequest && (!hasResponse || !requestWasLast);
            if (requestWasLast) {
                BodyTurns.Part<PartSender> part = requestBodies.next();
                budget.take(part.bytes(), nowNs);
                part.body().send(part.bytes());
            } else {
                Write next = waiting.pollFirst();
                waitingBytes -= next.bytes;
                budget.take(next.bytes, nowNs);
                next.action.run();
            }
        }
    }

    private void dropUnneeded() {
        while (!waiting.isEmpty() && !waiting.peekFirst().isNeeded.getAsBoolean()) {
            waitingBytes -= waiting.pollFirst().bytes;
        }
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** Sends the next bytes of the body of a request. */
    interface PartSender {
        void send(int bytes);
    }

    private record Write(int bytes, BooleanSupplier isNeeded, Runnable action) {}
}
