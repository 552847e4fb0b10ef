package org.siskintiller.router.store;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Follows a topic: the newest record of each key first, then every record as it is appended. */
public final class TopicFeed {
    /** First pause after a failed call. */
    private static final long FIRST_PAUSE_MS = 150;
    /** Longest pause: entries must be back within about 2 s of the store's return. */
    private static final long LONGEST_PAUSE_MS = 800;

    private final RecordStore store;
    private final StoreTopic topic;
    private final EventLoop loop;
    private final LongSupplier waitMs;
    private final LongSupplier pauseBetweenMs;
    private final FeedListener listener;
    private long next;
    private boolean positioned;
    private boolean reachable;
    private boolean everReached;
    private long lastContactNs;
    private long pauseMs = FIRST_PAUSE_MS;

    /**
     * Creates a feed.
     *
     * @param waitMs time that a read waits for news; a connection that fell silent is noticed after it
     * @param pauseBetweenMs least time between the starts of two reads, in which several records are read at once
     */
    public TopicFeed(
            RecordStore store,
            StoreTopic topic,
            EventLoop loop,
            LongSupplier waitMs,
            LongSupplier pauseBetweenMs,
            FeedListener listener) {
        this.store = store;
        this.topic = topic;
        this.loop = loop;
        this.waitMs = waitMs;
        this.pauseBetweenMs = pauseBetweenMs;
        this.listener = listener;
        this.lastContactNs = System.nanoTime() - TimeUnit.HOURS.toNanos(1);
    }

    public void start() {
        call();
    }

    /** Offset up to which all records have been read, or -1 before the first read. */
    public long position() {
        return positioned ? next : -1;
    }

    public boolean reachable() {
        return reachable;
    }

    /** Time at which the last successful read was sent. */
    public long lastContactNs() {
        return lastContactNs;
    }

    private void call() {
        long sentNs = System.nanoTime();
        if (positioned) {
            store.read(topic, next, waitMs.getAsLong(), result -> received(result, sentNs));
        } else {
            store.newest(topic, result -> received(result, sentNs));
        }
    }

    private void received(StoreResult<RecordBatch> result, long sentNs) {
        if (result instanceof StoreResult.Success<RecordBatch> success) {
            lastContactNs = sentNs;
            regained();
            boolean first = !positioned;
            next = success.value().nextOffset();
            positioned = true;
            for (StoredRecord record : success.value().records()) {
                listener.record(record);
            }
            if (first) {
                listener.caughtUp();
            }
            listener.readCompleted();
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs);
            callAfter(pauseBetweenMs.getAsLong() - tookMs);
            return;
        }
        if (result instanceof StoreResult.Expired<RecordBatch>) {
            EventLog.log(LogEvent.LOG_EXPIRED, "topic", topic, "position", next);
            positioned = false;
            call();
            return;
        }
        lost(result);
        long jitterMs = (sentNs >>> 10) % FIRST_PAUSE_MS;
        loop.schedule(this::call, pauseMs + jitterMs, TimeUnit.MILLISECONDS);
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }

    private void callAfter(long pause) {
        if (pause <= 0) {
            call();
        } else {
            loop.schedule(this::call, pause, TimeUnit.MILLISECONDS);
        }
    }

    private void regained() {
        pauseMs = FIRST_PAUSE_MS;
        if (!reachable) {
            EventLog.log(LogEvent.LOG_AVAILABLE, "topic", topic, "first", !everReached);
        }
        reachable = true;
        everReached = true;
    }

    private void lost(StoreResult<RecordBatch> result) {
        if (reachable || !everReached) {
            EventLog.log(LogEvent.LOG_UNAVAILABLE, "topic", topic, "position", next, "cause", result.toString());
        }
        reachable = false;
        everReached = true;
    }

    /** Receives the records of a topic in order. A record may be seen again after a gap. */
    public interface FeedListener {
        void record(StoredRecord record);

        /** All newest records have been seen once. */
        default void caughtUp() {}

        /** A read ended. */
        default void readCompleted() {}
    }
}
