package org.siskintiller.router.store;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.siskintiller.core.supply.ReadSchedule;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Reads a topic continuously: the newest record of each key first, then every record as it is appended. */
public final class TopicFeed implements AppendObserver {
    /** Interval at which a store that stays unavailable is logged again with the cause. */
    private static final long FAILURE_LOG_INTERVAL_NS = TimeUnit.SECONDS.toNanos(2);
    /** Time in which a record that another companion knows is passed on. After it, a paused feed reads itself. */
    private static final long MAX_PASS_ON_NS = TimeUnit.MILLISECONDS.toNanos(250);
    /** A paused feed reads once in this time, in case that its suppliers know no newer records either. */
    private static final long MAX_PAUSE_NS = TimeUnit.SECONDS.toNanos(20);

    private final RecordStore store;
    private final StoreTopic topic;
    private final EventLoop loop;
    private final ReadPace pace;
    private final FeedListener listener;
    private final ReadSchedule schedule = new ReadSchedule();
    private LongConsumer contactListener = lostSinceNs -> {};
    private ScheduledFuture<?> timer;
    private long nextOffset;
    private boolean hasPosition;
    /** Era of the store in which the position is valid. */
    private long era;

    private boolean reachable;
    private boolean hasCompletedCall;
    private long lastContactNs;
    private int failuresInSuccession;
    /** Time from which another companion is known to have newer records; 0 while none is. */
    private long behindSinceNs;

    private long lastFailureLogNs;

    public TopicFeed(RecordStore store, StoreTopic topic, EventLoop loop, ReadPace pace, FeedListener listener) {
        this.store = store;
        this.topic = topic;
        this.loop = loop;
        this.pace = pace;
        this.listener = listener;
        this.lastContactNs = System.nanoTime() - TimeUnit.HOURS.toNanos(1);
    }

    public void start() {
        read();
    }

    /** Sets what receives the time since which calls were lost, when the store is within reach again. */
    void onContactRegained(LongConsumer newListener) {
        contactListener = newListener;
    }

    /** Offset up to which all records have been read, or -1 before the first read. */
    public long position() {
        return hasPosition ? nextOffset : -1;
    }

    /** Era of the store in which the position is valid. */
    public long era() {
        return era;
    }

    /** Whether the position is known and valid in the given era. */
    public boolean hasPositionIn(long storeEra) {
        return hasPosition && era == storeEra;
    }

    /** The store has the given era. After an increase, the position is void and the newest records are read again. */
    void eraKnown(long storeEra) {
        if (storeEra <= era) {
            return;
        }
        era = storeEra;
        notifyListener("era " + storeEra, () -> listener.eraChanged(storeEra));
        if (hasPosition) {
            EventLog.log(LogEvent.STORE_RESTORED, "topic", topic, "era", storeEra, "position", nextOffset);
            hasPosition = false;
            nextOffset = 0;
            behindSinceNs = 0;
            read();
        }
    }

    public boolean reachable() {
        return reachable;
    }

    /** Time at which the last successful read was sent. */
    public long lastContactNs() {
        return lastContactNs;
    }

    /** Reports that another companion knows newer records. If the pending read does not deliver them, others follow. */
    public void newerRecordsExist() {
        long nowNs = System.nanoTime();
        if (behindSinceNs == 0) {
            behindSinceNs = nowNs;
        }
        if (schedule.isPaused()) {
            if (nowNs - behindSinceNs >= MAX_PASS_ON_NS) {
                read();
            }
            return;
        }
        schedule.newerRecordsKnown(behindSinceNs, nowNs);
        readIfDue("a read did not deliver records that another companion knows");
    }

    /** Records that other companions passed on are up to date again. */
    public void recordsPassedOn() {
        behindSinceNs = 0;
    }

    /** Reads again if the feed is paused and is not supplied any more, or has been paused for long. */
    public void resumeIfNeeded() {
        if (!schedule.isPaused()) {
            return;
        }
        long nowNs = System.nanoTime();
        if (!pace.supplied()) {
            double random = ThreadLocalRandom.current().nextDouble();
            schedule.resume(pace.maxRetryIntervalMs(), random, nowNs);
            startTimer();
        } else if (nowNs - schedule.latestSentNs() >= MAX_PAUSE_NS) {
            read();
        }
    }

    /** Reads once if the feed is paused, to learn the present end of the topic. */
    public void readOnce() {
        if (schedule.isPaused()) {
            read();
        }
    }

    @Override
    public void appendOverdue(long sentNs) {
        if (!schedule.isOutOfReach()) {
            verifyContact(sentNs);
        }
    }

    @Override
    public void endKnown(long end) {
        if (hasPosition && end > nextOffset) {
            newerRecordsExist();
        }
    }

    /** Verifies the contact unless the store has responded since the given time, at which it was out of reach for others. */
    void verifyContact(long lostSinceNs) {
        schedule.verify(lostSinceNs, System.nanoTime());
        readIfDue("a call besides was lost");
    }

    private void readIfDue(String cause) {
        boolean wasOutOfReach = schedule.isOutOfReach();
        long sentNs = schedule.latestSentNs();
        if (schedule.isDue(System.nanoTime())) {
            if (schedule.isOutOfReach() && !wasOutOfReach) {
                storeFailed(cause, sentNs);
                // A connection may have failed without a reset, as that of the read which is overdue.
                store.closeIdleConnections();
            }
            read();
        } else {
            startTimer();
        }
    }

    private void read() {
        double random = ThreadLocalRandom.current().nextDouble();
        long meanWaitMs = hasPosition ? pace.meanWaitMs() : 0;
        ReadSchedule.Read read = schedule.send(meanWaitMs, pace.maxRetryIntervalMs(), random, System.nanoTime());
        startTimer();
        long eraOfPosition = era;
        if (hasPosition) {
            store.read(
                    topic,
                    nextOffset,
                    read.waitMs(),
                    read.timeoutMs(),
                    result -> handleResult(eraOfPosition == era ? result : withoutRecords(result), read, false));
        } else {
            store.newest(topic, read.timeoutMs(), result -> handleResult(result, read, true));
        }
    }

    private void startTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
        if (!schedule.isPaused()) {
            long delayNs = Math.max(0, schedule.dueNs() - System.nanoTime());
            timer = loop.schedule(() -> readIfDue("no response in time"), delayNs, TimeUnit.NANOSECONDS);
        }
    }

    /** Turns the result of a read that began in an earlier era into one that shows only that the store responds. */
    private StoreResult<RecordBatch> withoutRecords(StoreResult<RecordBatch> result) {
        boolean hasResponse = result instanceof StoreResult.Success || result instanceof StoreResult.Expired;
        return hasResponse ? new StoreResult.Success<>(new RecordBatch(List.of(), 0)) : result;
    }

    private void handleResult(StoreResult<RecordBatch> result, ReadSchedule.Read read, boolean isNewest) {
        long nowNs = System.nanoTime();
        if (result instanceof StoreResult.Success<RecordBatch> success) {
            ReadSchedule.Progress progress = schedule.answered(read.number(), pace.minIntervalMs(), nowNs);
            // Records after a position that has expired since are not the newest of all keys.
            if (hasPosition || isNewest) {
                received(success.value(), read.sentNs());
            }
            if (progress != ReadSchedule.Progress.UNCHANGED && pace.supplied()) {
                schedule.pause();
            }
            readIfDue("");
            if (progress == ReadSchedule.Progress.REGAINED) {
                contactListener.accept(schedule.doubtfulSinceNs());
            }
            return;
        }
        if (result instanceof StoreResult.Expired<RecordBatch>) {
            schedule.answered(read.number(), 0, nowNs);
            if (hasPosition) {
                EventLog.log(LogEvent.LOG_EXPIRED, "topic", topic, "position", nextOffset);
                hasPosition = false;
            }
            readIfDue("");
            return;
        }
        double random = ThreadLocalRandom.current().nextDouble();
        if (schedule.failed(read.number(), pace.maxRetryIntervalMs(), random, nowNs)) {
            storeFailed(result.toString(), read.sentNs());
            startTimer();
        }
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

    private void storeReached(long sentNs) {
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
        hasCompletedCall = true;
        setReachable(true);
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
        hasCompletedCall = true;
        setReachable(false);
    }

    private void setReachable(boolean isReachable) {
        if (reachable != isReachable) {
            reachable = isReachable;
            notifyListener("contact", listener::contactChanged);
        }
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

        /** The store was restored from an older copy. The newest record of each key follows. */
        default void eraChanged(long era) {}

        /** The store is within reach again, or out of reach. */
        default void contactChanged() {}

        /** A read succeeded, and all its records have been delivered. */
        default void readCompleted() {}
    }
}
