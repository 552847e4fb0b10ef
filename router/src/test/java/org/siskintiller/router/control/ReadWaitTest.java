package org.siskintiller.router.control;

import org.junit.jupiter.api.Test;

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

    /** Guards against a stalled connection that hides a configuration for too long. */
    @Test
    void revealsAStalledConnectionInTime() {
        assertThat(ConfigFeed.READ_WAIT_MS).isLessThan(IN_FORCE_MS);
    }
}
