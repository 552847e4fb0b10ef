package org.siskintiller.core.supply;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a companion reads a topic of the store, for how long a read waits for records, and when the store counts as
 * out of reach.
 *
 * <p>Load pattern: the store, or the way to it, is silent for some seconds. A read that waits for records and was sent
 * before the end of the silence is never answered, so nothing that belongs to it tells of the end. From the time at which a
 * read is overdue, others that wait for nothing follow at an interval that depends neither on the earlier ones nor on the
 * length of the silence. Durations are spread at random, since a record completes the reads of all companions at once, and
 * their next ones would be lost and repeated together.
 */
public final class ReadSchedule {
    /** Maximum interval between reads while the store is out of reach. */
    public static final long MAX_RETRY_INTERVAL_MS = 800;

    private static final long MIN_RETRY_INTERVAL_MS = 200;
    /** A retry interval, and the wait for records, differ from their mean by up to this share of it. */
    private static final double RETRY_SPREAD = 0.25;

    private static final double WAIT_SPREAD = 1.0 / 3;

    /** Lateness of a response after which a read is overdue: a slow store takes 100 times as long as usual, 0.4 s. */
    private static final long MIN_LATENESS_NS = 500_000_000L;
    /** A saturated link delays responses by seconds. */
    private static final long MAX_LATENESS_NS = 2_000_000_000L;
    /** Responses may take this many times as long as the one before. */
    private static final long LATENESS_FACTOR = 2;

    /** Timeout of one read at a time, so that a path with a long delay succeeds. */
    private static final long PATIENT_TIMEOUT_MS = 7_200;
    /** Timeout of the others, which limits how many are pending. */
    private static final long TIMEOUT_MS = 2_000;

    private static final long NS_PER_MS = 1_000_000L;
    private static final long NEVER = Long.MAX_VALUE;

    private final Map<Integer, Read> pending = new HashMap<>();
    private Read latest = new Read(0, 0, 0, 0);
    private int patientNumber;
    private long dueNs = NEVER;
    private long latenessNs = MIN_LATENESS_NS;
    private long retryIntervalMs = MIN_RETRY_INTERVAL_MS;
    private boolean outOfReach;
    /** Whether a call may have been lost, and no response has arrived since. */
    private boolean doubtful;

    private long doubtfulSinceNs;
    private long lastAnswerNs = Long.MIN_VALUE;
    /** Whether the latest read is overdue when the next one is due. */
    private boolean awaitsLatest;
    /** Whether the next read waits for nothing, since the latest one may have been lost. */
    private boolean verifying;

    /**
     * Returns the read to send now. Earlier ones may still be pending.
     *
     * @param meanWaitMs mean time for which a read waits for records; 0 if it does not wait
     * @param maxRetryIntervalMs maximum interval between reads while the store is out of reach
     * @param random value from 0 to 1
     */
    public Read send(long meanWaitMs, long maxRetryIntervalMs, double random, long nowNs) {
        boolean waits = !outOfReach && !verifying;
        long waitMs = waits ? spread(meanWaitMs, WAIT_SPREAD, random) : 0;
        verifying = false;
        int number = latest.number + 1;
        boolean isPatient = patientNumber == 0;
        if (isPatient) {
            patientNumber = number;
        }
        latest = new Read(number, nowNs, waitMs, waitMs + (isPatient ? PATIENT_TIMEOUT_MS : TIMEOUT_MS));
        pending.put(number, latest);
        dueNs = outOfReach
                ? nowNs + nextRetryIntervalNs(maxRetryIntervalMs, random)
                : nowNs + NS_PER_MS * waitMs + latenessNs;
        awaitsLatest = !outOfReach;
        return latest;
    }

    /** Handles a response to the read with the number. */
    public Progress answered(int number, long minIntervalMs, long nowNs) {
        Read read = removePending(number);
        if (read != null) {
            adaptLateness(read, nowNs);
        }
        lastAnswerNs = nowNs;
        boolean isRegained = doubtful;
        if (!isRegained && number != latest.number) {
            return Progress.UNCHANGED;
        }
        doubtful = false;
        outOfReach = false;
        awaitsLatest = false;
        retryIntervalMs = MIN_RETRY_INTERVAL_MS;
        dueNs = Math.max(nowNs, latest.sentNs + NS_PER_MS * minIntervalMs);
        return isRegained ? Progress.REGAINED : Progress.CONTINUES;
    }

    /**
     * Handles the failure of the read with the number.
     *
     * @return whether it was the latest one
     */
    public boolean failed(int number, long maxRetryIntervalMs, double random, long nowNs) {
        removePending(number);
        if (number != latest.number) {
            return false;
        }
        if (!outOfReach) {
            lose(nowNs);
            dueNs = nowNs + nextRetryIntervalNs(maxRetryIntervalMs, random);
        }
        return true;
    }

    /** Returns whether a read is to be sent now. If the latest one is overdue, the store is out of reach from now on. */
    public boolean isDue(long nowNs) {
        if (nowNs < dueNs) {
            return false;
        }
        if (awaitsLatest) {
            lose(nowNs);
        }
        return true;
    }

    /**
     * Handles that another companion has known newer records for the given time. If the latest read should have delivered
     * them, the store is out of reach from now on, and a read is due.
     */
    public void newerRecordsKnown(long sinceNs, long nowNs) {
        if (!outOfReach && isLatestPending() && nowNs - Math.max(sinceNs, latest.sentNs) >= latenessNs) {
            lose(nowNs);
            dueNs = nowNs;
        }
    }

    /**
     * Makes a read due that verifies the contact, because another call to the store was lost. The latest read may have been lost
     * in the same disturbance, unless the store has responded to this topic since.
     *
     * @param lostSinceNs time since which the store was out of reach for the other call
     */
    public void verify(long lostSinceNs, long nowNs) {
        boolean verifiesAlready = !outOfReach && latest.waitMs == 0;
        if (lastAnswerNs < lostSinceNs && !verifiesAlready && (outOfReach || isLatestPending())) {
            verifying = true;
            awaitsLatest = false;
            dueNs = nowNs;
            if (!doubtful) {
                doubtful = true;
                doubtfulSinceNs = lostSinceNs;
            }
        }
    }

    /** No read is due until the next one is sent. */
    public void pause() {
        dueNs = NEVER;
    }

    /**
     * Makes a read due at a random time within the interval: all companions that a reader supplied resume when it loses the store.
     */
    public void resume(long maxRetryIntervalMs, double random, long nowNs) {
        awaitsLatest = false;
        dueNs = nowNs + Math.round(NS_PER_MS * maxRetryIntervalMs * random);
    }

    /** Time at which a read is due, unless a response or a failure arrives before. */
    public long dueNs() {
        return dueNs;
    }

    public boolean isPaused() {
        return dueNs == NEVER;
    }

    /** Whether the latest read failed or is overdue. */
    public boolean isOutOfReach() {
        return outOfReach;
    }

    /** Time since which calls were lost before the contact was regained for the last time. */
    public long doubtfulSinceNs() {
        return doubtfulSinceNs;
    }

    /** Time at which the latest read was sent. */
    public long latestSentNs() {
        return latest.sentNs;
    }

    private void lose(long nowNs) {
        outOfReach = true;
        awaitsLatest = false;
        if (!doubtful) {
            doubtful = true;
            doubtfulSinceNs = nowNs;
        }
    }

    private boolean isLatestPending() {
        return pending.containsKey(latest.number);
    }

    private Read removePending(int number) {
        if (number == patientNumber) {
            patientNumber = 0;
        }
        return pending.remove(number);
    }

    private void adaptLateness(Read read, long nowNs) {
        long lateNs = nowNs - read.sentNs - NS_PER_MS * read.waitMs;
        // A read that delivers records before the end of its wait tells nothing of the delay.
        if (lateNs >= 0) {
            latenessNs = Math.min(MAX_LATENESS_NS, Math.max(MIN_LATENESS_NS, LATENESS_FACTOR * lateNs));
        }
    }

    private long nextRetryIntervalNs(long maxMs, double random) {
        long intervalMs = spread(retryIntervalMs, RETRY_SPREAD, random);
        retryIntervalMs = Math.min(maxMs, 2 * retryIntervalMs);
        return NS_PER_MS * intervalMs;
    }

    private static long spread(long mean, double share, double random) {
        return Math.round(mean * (1 + share * (2 * random - 1)));
    }

    /** What a response changes. */
    public enum Progress {
        /** A later read is pending. */
        UNCHANGED,
        /** The next read is due after the minimum interval. */
        CONTINUES,
        /** As before, and the store is within reach after calls were lost. */
        REGAINED
    }

    /**
     * Read of the store.
     *
     * @param waitMs time in ms for which the store holds the response back if there is no record
     * @param timeoutMs time in ms after which the read fails
     */
    public record Read(int number, long sentNs, long waitMs, long timeoutMs) {
        public Read {
            if (waitMs < 0 || timeoutMs < waitMs) {
                throw new IllegalArgumentException("a read must time out after its wait: " + waitMs + ", " + timeoutMs);
            }
        }
    }
}
