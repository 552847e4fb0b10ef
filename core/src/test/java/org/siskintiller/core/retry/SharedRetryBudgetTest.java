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
                    taken[second] += budget.tryTake(true, nowNs) ? 1 : 0;
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
                taken += budget.tryTake(true, 1_000 * SECOND_NS) ? 1 : 0;
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

            assertThat(budget.tryTake(true, 0)).isTrue();
        }
    }

    @Nested
    class InternalCalls {
        /**
         * Load pattern: the backend servers reject half of their arrivals, requests and calls in turn. Guards against
         * calls that fail because requests, whose callers can return, have taken all retries.
         */
        @Test
        void keepRetriesWhileRequestsFindNone() {
            SharedRetryBudget budget = new SharedRetryBudget(0.2, 200, 10_000);
            int calls = 0;
            int requests = 0;
            for (int i = 0; i < 400; i++) {
                long nowNs = i * 1_000_000L;
                requests += budget.tryTake(false, nowNs) ? 1 : 0;
                calls += budget.tryTake(true, nowNs) ? 1 : 0;
            }

            assertThat(requests).isGreaterThan(0);
            assertThat(calls).isAtLeast(2 * requests);
        }
    }
}
