package org.siskintiller.router.peer;

import java.util.concurrent.TimeUnit;

import org.siskintiller.core.supply.ReadSchedule;

/**
 * Intervals that grow with the number of companions, so that the traffic of each companion stays about the same. Only
 * used on the event loop.
 */
public final class FleetIntervals {
    /** Up to this number of companions all intervals have their minimum. */
    private static final int MAX_SMALL_FLEET_COMPANIONS = 16;
    /** Interval between status frames to other companions in a small fleet. Changes are sent at once. */
    private static final long MIN_STATUS_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Status intervals without a frame after which a companion receives no new requests. */
    private static final double UNRESPONSIVE_INTERVALS = 1.8;
    /** Status intervals without a frame after which a connection is closed. */
    private static final double SILENT_INTERVALS = 2.8;
    /** Minimum time between two reads of a topic per companion that reads: a record completes the reads of all. */
    private static final long MIN_READ_INTERVAL_PER_READER_MS = 4;
    /** As above per companion that may read, since no supplier is connected. */
    private static final long MIN_READ_INTERVAL_PER_UNCONNECTED_MS = 12;

    private int companions = 1;

    public void setCompanions(int count) {
        companions = Math.max(1, count);
    }

    public boolean isSmallFleet() {
        return companions <= MAX_SMALL_FLEET_COMPANIONS;
    }

    public long statusIntervalNs() {
        return scale(MIN_STATUS_INTERVAL_NS);
    }

    /** Returns an interval of a small fleet for the present one. */
    long scale(long smallFleetInterval) {
        return Math.round(smallFleetInterval * fleetFactor());
    }

    long unresponsiveAfterNs() {
        return Math.round(statusIntervalNs() * UNRESPONSIVE_INTERVALS);
    }

    long silentAfterNs() {
        return Math.round(statusIntervalNs() * SILENT_INTERVALS);
    }

    /**
     * Minimum time between the starts of two reads of a topic by one of several companions that read it.
     *
     * @param notConnected companions that this one is not connected to: after a start of the whole fleet all of them
     *     register at the same time, and each registration would complete the reads of all
     */
    public static long minReadIntervalMs(int readers, int notConnected) {
        return readers * MIN_READ_INTERVAL_PER_READER_MS + notConnected * MIN_READ_INTERVAL_PER_UNCONNECTED_MS;
    }

    /**
     * Maximum time between the starts of two reads of a topic while the store is out of reach. Any of the companions that
     * reaches it tells the others.
     *
     * @param sharing companions that share the reads
     */
    public static long maxRetryIntervalMs(int sharing) {
        return Math.round(ReadSchedule.MAX_RETRY_INTERVAL_MS * factorOf(sharing));
    }

    private double fleetFactor() {
        return factorOf(companions);
    }

    private static double factorOf(int fleet) {
        return Math.max(1, (double) fleet / MAX_SMALL_FLEET_COMPANIONS);
    }
}
