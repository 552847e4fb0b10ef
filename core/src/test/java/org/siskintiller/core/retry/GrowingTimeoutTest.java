package org.siskintiller.core.retry;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class GrowingTimeoutTest {
    private static final int MIN_MS = 700;
    private static final int MAX_MS = 2_800;

    private final GrowingTimeout timeout = new GrowingTimeout(MIN_MS, MAX_MS);

    /** Guards against a companion that is never reached again over a link whose delay exceeds the first timeout. */
    @Test
    void succeedsOnASlowPath() {
        assertThat(attemptsUntilSuccess(2_000)).isEqualTo(3);
    }

    /** Guards against an attempt that waits so long that the end of an outage is noticed late. */
    @Test
    void staysBelowItsMaximum() {
        for (int i = 0; i < 40; i++) {
            timeout.expired();
        }

        assertThat(timeout.currentMs()).isEqualTo(MAX_MS);
    }

    @Test
    void returnsToItsMinimumAfterASuccess() {
        timeout.expired();
        timeout.succeeded();

        assertThat(timeout.currentMs()).isEqualTo(MIN_MS);
    }

    private int attemptsUntilSuccess(int delayMs) {
        int attempts = 1;
        while (timeout.currentMs() < delayMs) {
            timeout.expired();
            attempts++;
        }
        return attempts;
    }
}
