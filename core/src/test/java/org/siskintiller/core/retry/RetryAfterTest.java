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
        /** Load pattern: a burst of some seconds. Guards against callers that use up their repeats within it. */
        @Test
        void spendsAFairPartOfTheCallersTime() {
            assertThat(RetryAfter.waitMs(10, 3_000, 0)).isAtLeast(600);
        }

        /** Guards against a time above the third that callers are ready to wait. */
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
        /** Load pattern: 300 callers are refused in the same moment. Guards against a second wave of all of them. */
        @Test
        void separatesCallersThatWereRefusedTogether() {
            Random random = new Random(1);
            Map<Long, Integer> perTenthOfTheSpread = new HashMap<>();
            for (int i = 0; i < 300; i++) {
                long waitMs = RetryAfter.waitMs(100, 3_000, random.nextDouble());
                perTenthOfTheSpread.merge(waitMs / 28, 1, Integer::sum);
            }

            assertThat(perTenthOfTheSpread.values().stream()
                            .max(Integer::compare)
                            .orElseThrow())
                    .isLessThan(60);
        }
    }
}
