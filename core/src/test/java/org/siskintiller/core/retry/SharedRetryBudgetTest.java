package org.siskintiller.core.retry;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SharedRetryBudgetTest {
    private static final long SECOND_NS = 1_000_000_000L;
    private static final double RATIO = 0.2;
    private static final double SLACK = 64;

    @Nested
    class Limiting {
        /** Load pattern: every request fails for a minute. Guards against retries above the shared budget. */
        @Test
        void staysWithinTheSharedBudgetInEveryWindow() {
            int companions = 15;
            int requestsPerSecond = 10;
            SharedRetryBudget budget = new SharedRetryBudget(RATIO, SLACK, 10_000);
            budget.setCompanions(companions);
            int[] taken = new int[60];
            for (int second = 0; second < 60; second++) {
                for (int i = 0; i < requestsPerSecond; i++) {
                    long nowNs = second * SECOND_NS + i * SECOND_NS / requestsPerSecond;
                    budget.requested(nowNs);
                    taken[second] += budget.tryTake(nowNs) ? 1 : 0;
                }
            }

            for (int start = 0; start + 10 <= 60; start++) {
                int inWindow = 0;
                for (int second = start; second < start + 10; second++) {
                    inWindow += taken[second];
                }
                double allowed = RATIO * requestsPerSecond * 10 + SLACK / companions;
                assertThat((double) inWindow).isAtMost(allowed);
            }
        }

        /** Guards against tokens that are saved for a long time and spent at once. */
        @Test
        void boundsTheTokensThatAreSavedWithoutRequests() {
            SharedRetryBudget budget = new SharedRetryBudget(RATIO, SLACK, 10_000);
            budget.setCompanions(10);
            budget.requested(0);
            int taken = 0;
            for (int i = 0; i < 100; i++) {
                taken += budget.tryTake(1_000 * SECOND_NS) ? 1 : 0;
            }

            assertThat((double) taken).isAtMost(SLACK / 10);
        }
    }

    @Nested
    class Allowing {
        /** Guards against single failures that are never retried. */
        @Test
        void allowsTheFirstRetry() {
            SharedRetryBudget budget = new SharedRetryBudget(RATIO, SLACK, 10_000);
            budget.requested(0);

            assertThat(budget.tryTake(0)).isTrue();
        }
    }
}
