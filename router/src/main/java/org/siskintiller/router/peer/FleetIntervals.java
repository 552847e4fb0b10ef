package org.siskintiller.router.peer;

import java.util.concurrent.TimeUnit;

/**
 * Intervals that grow with the number of companions, so that what each of them sends and reads stays about the same.
 * Only used on the event loop.
 */
public final class FleetIntervals {
    /** Up to this many companions all intervals are the shortest. */
    private static final int SMALL_FLEET = 16;
    /** Interval of the status to other companions in a small fleet; changes are told at once. */
    private static final long STATUS_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Status intervals after which a silent companion gets no new requests. */
    private static final double UNRESPONSIVE_INTERVALS = 1.8;
    /** Status intervals after which a silent connection is closed. */
    private static final double SILENT_INTERVALS = 2.8;
    /** Least time between two reads of a topic for each companion, as every record wakes the reads of all of them. */
    private static final long READ_PAUSE_US = 4_000;
    /** Longest wait of a read that the store accepts, with a margin. */
    private static final long LONGEST_READ_WAIT_MS = 25_000;

    private int companions = 1;

    public void setCompanions(int count) {
        companions = Math.max(1, count);
    }

    public boolean isSmallFleet() {
        return companions <= SMALL_FLEET;
    }

    public long statusIntervalNs() {
        return Math.round(STATUS_INTERVAL_NS * factor());
    }

    long unresponsiveAfterNs() {
        return Math.round(statusIntervalNs() * UNRESPONSIVE_INTERVALS);
    }

    long silentAfterNs() {
        return Math.round(statusIntervalNs() * SILENT_INTERVALS);
    }

    /** Time that a read of the store waits for news, given the one in a small fleet. */
    public long readWaitMs(long smallMs) {
        return Math.min(LONGEST_READ_WAIT_MS, Math.round(smallMs * factor()));
    }

    /** Least time between the starts of two reads of one topic. */
    public long minReadIntervalMs() {
        return companions * READ_PAUSE_US / 1_000;
    }

    private double factor() {
        return Math.max(1, (double) companions / SMALL_FLEET);
    }
}
