package org.siskintiller.router.control;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.supply.ReadSchedule;

import static com.google.common.truth.Truth.assertThat;

/** Time that a read of the store waits for a record, whatever the size of the fleet. */
class ReadWaitTest {
    /** Maximum wait that the store accepts. */
    private static final long STORE_LIMIT_MS = 30_000;
    /** Time within which a configuration must be in force although a connection to the store delivers nothing. */
    private static final long IN_FORCE_MS = 5_000;

    /** Guards against a read that the store rejects because its wait is too long. */
    @Test
    void isAcceptedByTheStore() {
        assertThat(ControlDriver.READ_WAIT_MS).isAtMost(STORE_LIMIT_MS);
        assertThat(ConfigFeed.READ_WAIT_MS).isAtMost(STORE_LIMIT_MS);
    }

    /** Guards against a stalled connection that hides a configuration for too long: the longest wait counts, not the mean. */
    @Test
    void revealsAStalledConnectionInTime() {
        ReadSchedule schedule = new ReadSchedule();
        schedule.send(ConfigFeed.READ_WAIT_MS, ReadSchedule.MAX_RETRY_INTERVAL_MS, 1, 0);

        assertThat(TimeUnit.NANOSECONDS.toMillis(schedule.dueNs())).isLessThan(IN_FORCE_MS);
    }
}
