package org.siskintiller.router.ingress;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import org.siskintiller.core.path.RequestMemory;
import org.siskintiller.core.path.UnreadResponses;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Memory for the bodies of requests, and for responses that callers have not read. Used on the event loop only. */
public final class BufferMemory {
    private static final long CHECK_INTERVAL_MS = 250;

    private final EventLoop loop;
    private final RequestMemory requests;
    private final UnreadResponses<CallerConnection> unread;
    private final Counter refused;
    private final Counter closed;
    private boolean checkScheduled;

    public BufferMemory(EventLoop loop, MetricRegistry metrics) {
        this(
                loop,
                metrics,
                new RequestMemory(RequestMemory.DEFAULT_LIMIT_BYTES),
                new UnreadResponses<>(UnreadResponses.DEFAULT_LIMIT_BYTES));
    }

    BufferMemory(
            EventLoop loop, MetricRegistry metrics, RequestMemory requests, UnreadResponses<CallerConnection> unread) {
        this.loop = loop;
        this.requests = requests;
        this.unread = unread;
        this.refused = metrics.counter("memory.refused");
        this.closed = metrics.counter("memory.slow_readers_closed");
        metrics.gauge("memory.request_bytes", () -> requests::heldBytes);
        metrics.gauge("memory.bodies_refused", () -> requests::refusals);
        metrics.gauge("memory.unread_response_bytes", () -> unread::totalBytes);
    }

    /** Bodies of requests from callers and from other companions. */
    public RequestMemory requests() {
        return requests;
    }

    /** Reserves memory for bytes of a request. Refuses them also while memory for responses is lacking. */
    boolean tryReserve(int bytes, int bodyBytes) {
        boolean hasMemory = !unread.isFull() && requests.tryReserve(bytes, bodyBytes);
        if (!hasMemory) {
            refused.inc();
            EventLog.log(
                    LogEvent.MEMORY_FULL,
                    "body_bytes",
                    bodyBytes,
                    "request_bytes",
                    requests.heldBytes(),
                    "unread_response_bytes",
                    unread.totalBytes());
        }
        return hasMemory;
    }

    /** Whether no further request is read from the connection. */
    boolean pauses(CallerConnection connection) {
        return unread.pauses(connection);
    }

    void buffered(CallerConnection connection, int bytes) {
        unread.buffered(connection, bytes, System.nanoTime());
        scheduleCheck();
    }

    void taken(CallerConnection connection, int bytes) {
        unread.taken(connection, bytes, System.nanoTime());
    }

    void removed(CallerConnection connection) {
        unread.removed(connection);
    }

    private void scheduleCheck() {
        if (unread.isScarce() && !checkScheduled) {
            checkScheduled = true;
            loop.schedule(this::closeOverdue, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeOverdue() {
        checkScheduled = false;
        for (CallerConnection connection : unread.overdue(System.nanoTime())) {
            closed.inc();
            EventLog.log(LogEvent.SLOW_READER_CLOSED, "unread_response_bytes", unread.totalBytes());
            connection.cut("memory for responses is short");
        }
        scheduleCheck();
    }
}
