package org.siskintiller.router.store;

import org.siskintiller.core.supply.ReadSchedule;

/** How often a topic is read, as the fleet and the role of this companion in it require now. */
public interface ReadPace {
    /** Mean time for which a read waits for records. A stalled connection is detected only after it. */
    long meanWaitMs();

    /** Minimum time between the starts of two reads, so that one read returns several records. */
    default long minIntervalMs() {
        return 0;
    }

    /** Maximum time between the starts of two reads while the store is out of reach. */
    default long maxRetryIntervalMs() {
        return ReadSchedule.MAX_RETRY_INTERVAL_MS;
    }

    /** Whether other companions pass new records on, so that the feed pauses. */
    default boolean supplied() {
        return false;
    }
}
