package org.siskintiller.core.path;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LinkBudgetTest {
    private static final int BYTES_PER_SECOND = 1_000_000;
    private static final int MESSAGE_BYTES = 8_192;
    private static final long MS = 1_000_000;

    private final LinkBudget budget = new LinkBudget(BYTES_PER_SECOND);

    /** Guards against bulk data that fills a link, so that small messages wait for seconds. */
    @Test
    void keepsToTheRateUnderLoad() {
        long sentBytes = 0;
        for (long nowMs = 0; nowMs < 10_000; nowMs++) {
            while (budget.tryTake(MESSAGE_BYTES, nowMs * MS)) {
                sentBytes += MESSAGE_BYTES;
            }
        }

        assertThat(sentBytes).isAtMost(10L * BYTES_PER_SECOND + 64 * 1024);
        assertThat(sentBytes).isAtLeast(10L * BYTES_PER_SECOND - 64 * 1024);
    }

    /** Guards against timers for each part of a response on a link that is not the bottleneck. */
    @Test
    void sendsAResponseAtOnceOnAFastLink() {
        LinkBudget fast = new LinkBudget(100.0 * BYTES_PER_SECOND);
        for (int sent = 0; sent < 400_000; sent += MESSAGE_BYTES) {
            assertThat(fast.tryTake(MESSAGE_BYTES, 0)).isTrue();
        }
    }

    /** Guards against bulk data that is sent beside small messages as if the link were free. */
    @Test
    void countsBytesThatDoNotWait() {
        budget.take(BYTES_PER_SECOND, 0);

        assertThat(budget.tryTake(MESSAGE_BYTES, 0)).isFalse();
        assertThat(budget.tryTake(MESSAGE_BYTES, 1_000 * MS)).isTrue();
    }

    /** Guards against a message that never fits. */
    @Test
    void sendsAMessageAboveTheBurst() {
        assertThat(budget.tryTake(10 * BYTES_PER_SECOND, 0)).isTrue();
        assertThat(budget.tryTake(1, 0)).isFalse();
        assertThat(budget.tryTake(1, budget.waitNs(0))).isTrue();
    }
}
