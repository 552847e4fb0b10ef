package org.siskintiller.router.store;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.siskintiller.core.retry.GrowingTimeout;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Reads a topic continuously: the newest record of each key first, then every record as it is appended. */
public final class TopicFeed {
    /** Delay after the first failed call. */
    private static final long MIN_RETRY_DELAY_MS = 150;
    /** Maximum delay: records must be read within about 2 s after the store becomes available again. */
    private static final long MAX_RETRY_DELAY_MS = 800;
    /** Interval at which a store that stays unavailable is logged again with the cause. */
    private static final long FAILURE_LOG_INTERVAL_NS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time after which a second read is sent if the pending one does not deliver records which another companion knows. A
     * store delivers them within some 100 ms.
     */
    private static final int MIN_STALE_READ_MS = 1_000;
    /** A saturated link delays a response by seconds, and more reads delay it further. */
    private static final int MAX_STALE_READ_MS = 8_000;

    /** Time in which a record that another companion knows is passed on. After it, a paused feed reads itself. */
    private static final long MAX_PASS_ON_NS = TimeUnit.MILLISECONDS.toNanos(250);
    /** A paused feed reads once in this time, in case that its suppliers know no newer records either. */
    private static final long MAX_PAUSE_NS = TimeUnit.SECONDS.toNanos(20);

    private final RecordStore store;
    private final StoreTopic topic;
    private final EventLoop loop;
    private final LongSupplier readWaitMs;
    private final LongSupplier minReadIntervalMs;
    private final BooleanSupplier supplied;
    private final FeedListener listener;
    private long nextOffset;
    private boolean hasPosition;
    private boolean reachable;
    private boolean hasCompletedCall;
    private long lastContactNs;
    private long retryDelayMs = MIN_RETRY_DELAY_MS;
    private int failuresInSuccession;
    private final GrowingTimeout staleRead = new GrowingTimeout(MIN_STALE_READ_MS, MAX_STALE_READ_MS);
    /** Number of the latest read, which continues the feed. Earlier ones may still deliver records. */
    private int reads;

    /** Whether no read is pending or planned, since others pass new records on. */
    private boolean paused;

    private boolean readPending;
    private long readSentNs;
    /** Time from which another companion is known to have newer records; 0 while none is. */
    private long behindSinceNs;

    private long lastFailureLogNs;

    /**
     * Creates a feed.
     *
     * @param readWaitMs time that a read waits for a record; a stalled connection is detected only after it
     * @param minReadIntervalMs minimum time between the starts of two reads, so that one read returns several records
     * @param supplied whether other companions pass new records on, so that this feed pauses
     */
    public TopicFeed(
            RecordStore store,
            StoreTopic topic,
            EventLoop loop,
            LongSupplier readWaitMs,
            LongSupplier minReadIntervalMs,
            BooleanSupplier supplied,
            FeedListener listener) {
        this.store = store;
        this.topic = topic;
        this.loop = loop;
        this.readWaitMs = readWaitMs;
        this.minReadIntervalMs = minReadIntervalMs;
        this.supplied = supplied;
        this.listener = listener;
        this.lastContactNs = System.nanoTime() - TimeUnit.HOURS.toNanos(1);
    }

    public void start() {
        read();
    }

    /** Offset up to which all records have been read, or -1 before the first read. */
    public long position() {
        return hasPosition ? nextOffset : -1;
    }

    public boolean reachable() {
        return reachable;
    }

    /** Time at which the last successful read was sent. */
    public long lastContactNs() {
        return lastContactNs;
    }

    /**
     * Reports that another companion knows newer records. If the pending read does not deliver them, a second one is sent: the
     * connection of the first may have failed without a reset, which its timeout reveals only after the wait for records.
     */
    public void newerRecordsExist() {
        long nowNs = System.nanoTime();
        if (behindSinceNs == 0) {
            behindSinceNs = nowNs;
        }
        if (paused && nowNs - behindSinceNs >= MAX_PASS_ON_NS) {
            read();
            return;
        }
        long staleNs = TimeUnit.MILLISECONDS.toNanos(staleRead.currentMs());
        if (readPending && nowNs - Math.max(behindSinceNs, readSentNs) >= staleNs) {
            staleRead.expired();
            storeFailed("a read did not deliver records that another companion knows", readSentNs);
            read();
        }
    }

    /** Records that other companions passed on are up to date again. */
    public void recordsPassedOn() {
        behindSinceNs = 0;
    }

    /** Reads again if the feed is paused and is not supplied any more, or has been paused for long. */
    public void resumeIfNeeded() {
        if (paused && (!supplied.getAsBoolean() || System.nanoTime() - readSentNs >= MAX_PAUSE_NS)) {
            read();
        }
    }

    /** Reads once if the feed is paused, to learn the present end of the topic. */
    public void readOnce() {
        if (paused) {
            read();
        }
    }

    private void read() {
        paused = false;
        int number = ++reads;
        long sentNs = System.nanoTime();
        readPending = true;
        readSentNs = sentNs;
        if (hasPosition) {
            store.read(topic, nextOffset, readWaitMs.getAsLong(), result -> handleResult(result, number, sentNs));
        } else {
            store.newest(topic, result -> handleResult(result, number, sentNs));
        }
    }

    private void handleResult(StoreResult<RecordBatch> result, int number, long sentNs) {
        boolean isLatest = number == reads;
        if (result instanceof StoreResult.Success<RecordBatch> success && (isLatest || hasPosition)) {
            received(success.value(), sentNs);
        }
        if (!isLatest) {
            return;
        }
        readPending = false;
        if (result instanceof StoreResult.Success<RecordBatch>) {
            if (supplied.getAsBoolean()) {
                paused = true;
                return;
            }
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs);
            readAfter(minReadIntervalMs.getAsLong() - tookMs);
            return;
        }
        if (result instanceof StoreResult.Expired<RecordBatch>) {
            EventLog.log(LogEvent.LOG_EXPIRED, "topic", topic, "position", nextOffset);
            hasPosition = false;
            read();
            return;
        }
        storeFailed(result.toString(), sentNs);
        long jitterMs = (sentNs >>> 10) % MIN_RETRY_DELAY_MS;
        loop.schedule(this::read, retryDelayMs + jitterMs, TimeUnit.MILLISECONDS);
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }

    private void received(RecordBatch batch, long sentNs) {
        storeReached(sentNs);
        lastContactNs = Math.max(lastContactNs, sentNs);
        boolean isFirst = !hasPosition;
        // Two reads may deliver the same records.
        long knownEnd = isFirst ? 0 : nextOffset;
        nextOffset = Math.max(knownEnd, batch.nextOffset());
        hasPosition = true;
        for (StoredRecord record : batch.records()) {
            if (record.offset() >= knownEnd) {
                notifyListener("record " + record.key() + " at " + record.offset(), () -> listener.record(record));
            }
        }
        if (isFirst) {
            notifyListener("first read", listener::caughtUp);
        }
        notifyListener("read", listener::readCompleted);
    }

    /** Runs a reaction of the listener. An error in it must not end the feed, nor hide the records that follow. */
    private void notifyListener(String subject, Runnable reaction) {
        try {
            reaction.run();
        } catch (RuntimeException e) {
            EventLog.log(LogEvent.UNEXPECTED_ERROR, topic + ": " + subject, e);
        }
    }

    private void readAfter(long delayMs) {
        if (delayMs <= 0) {
            read();
        } else {
            loop.schedule(this::read, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void storeReached(long sentNs) {
        retryDelayMs = MIN_RETRY_DELAY_MS;
        if (!reachable) {
            long nowNs = System.nanoTime();
            EventLog.log(
                    LogEvent.LOG_AVAILABLE,
                    "topic",
                    topic,
                    "call",
                    callName(),
                    "first",
                    !hasCompletedCall,
                    "failures",
                    failuresInSuccession,
                    "took_ms",
                    TimeUnit.NANOSECONDS.toMillis(nowNs - sentNs),
                    "contact_age_ms",
                    TimeUnit.NANOSECONDS.toMillis(nowNs - lastContactNs));
        }
        failuresInSuccession = 0;
        behindSinceNs = 0;
        staleRead.succeeded();
        reachable = true;
        hasCompletedCall = true;
    }

    private void storeFailed(String cause, long sentNs) {
        failuresInSuccession++;
        long nowNs = System.nanoTime();
        if (failuresInSuccession == 1 || nowNs - lastFailureLogNs >= FAILURE_LOG_INTERVAL_NS) {
            lastFailureLogNs = nowNs;
            EventLog.log(
                    LogEvent.LOG_UNAVAILABLE,
                    "topic",
                    topic,
                    "call",
                    callName(),
                    "position",
                    nextOffset,
                    "failures",
                    failuresInSuccession,
                    "took_ms",
                    TimeUnit.NANOSECONDS.toMillis(nowNs - sentNs),
                    "contact_age_ms",
                    TimeUnit.NANOSECONDS.toMillis(nowNs - lastContactNs),
                    "cause",
                    cause);
        }
        reachable = false;
        hasCompletedCall = true;
    }

    /** Call by which the feed continues: the newest records of all keys first, then the records from its position on. */
    private String callName() {
        return hasPosition ? "read" : "newest";
    }

    /** Receives the records of a topic in order. A record may be delivered again after records have expired. */
    public interface FeedListener {
        void record(StoredRecord record);

        /** The newest record of each key has been delivered. */
        default void caughtUp() {}

        /** A read succeeded, and all its records have been delivered. */
        default void readCompleted() {}
    }
}
