package org.siskintiller.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RetryAfterTest {
    @Nested
    class Waiting {
        /** Load pattern: a burst of some seconds. Guards against callers that use up their retries within it. */
        @Test
        void usesAMinimumShareOfTheCallersTime() {
            assertThat(RetryAfter.waitMs(10, 3_000, 0)).isAtLeast(600);
        }

        /** Guards against a wait above a third of the caller's time, the longest that callers accept. */
        @Test
        void staysWithinAThirdOfTheCallersTime() {
            assertThat(RetryAfter.waitMs(0, 3_000, 1)).isAtMost(1_000);
        }

        @Test
        void keepsALongerExpectation() {
            assertThat(RetryAfter.waitMs(2_000, 3_000, 0)).isEqualTo(2_000);
        }
    }

    @Nested
    class Spreading {
        /** Load pattern: 300 callers are refused at the same time. Guards against retries of all of them at once. */
        @Test
        void separatesCallersThatWereRefusedTogether() {
            Random random = new Random(1);
            Map<Long, Integer> callersPerTenthOfTheJitter = new HashMap<>();
            for (int i = 0; i < 300; i++) {
                long waitMs = RetryAfter.waitMs(100, 3_000, random.nextDouble());
                callersPerTenthOfTheJitter.merge(waitMs / 28, 1, Integer::sum);
            }

            assertThat(callersPerTenthOfTheJitter.values().stream()
                            .max(Integer::compare)
                            .orElseThrow())
                    .isLessThan(60);
        }
    }
}
