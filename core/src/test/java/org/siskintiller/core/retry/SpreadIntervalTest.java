package org.siskintiller.core.retry;

import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class SpreadIntervalTest {
    private static final long MEAN_NS = 700_000_000L;
    private static final long MS_NS = 1_000_000L;

    @Nested
    class Fleet {
        private static final int COMPANIONS = 300;
        /** An append takes 4 ms, and the store rejects what would wait for 2 s. */
        private static final long APPEND_NS = 4 * MS_NS;

        private static final long MAX_WAIT_NS = 2_000 * MS_NS;

        /** Guards against a fleet that repeats its appends at the same time: some of them are rejected each time. */
        @Test
        void spreadsAttemptsThatBeganTogether() {
            Random random = new Random(1);
            SpreadInterval[] intervals = new SpreadInterval[COMPANIONS];
            for (int i = 0; i < COMPANIONS; i++) {
                intervals[i] = new SpreadInterval(MEAN_NS);
                intervals[i].attempted(0, random.nextDouble());
            }
            long largest = 0;
            for (long nowNs = 0; nowNs < 10 * MEAN_NS; nowNs += 10 * MS_NS) {
                int attempts = 0;
                for (SpreadInterval interval : intervals) {
                    if (interval.isDue(nowNs)) {
                        attempts++;
                        interval.attempted(nowNs, random.nextDouble());
                    }
                }
                largest = Math.max(largest, attempts);
            }
            assertWithMessage("wait of the appends of 10 ms")
                    .that(largest * APPEND_NS)
                    .isLessThan(MAX_WAIT_NS / 10);
        }
    }

    @Nested
    class Single {
        /** Guards against a first attempt that waits, and against repeats without a pause. */
        @Test
        void isDueAtOnceAndThenAfterTheInterval() {
            SpreadInterval interval = new SpreadInterval(MEAN_NS);
            assertThat(interval.isDue(0)).isTrue();

            interval.attempted(0, 0);
            assertThat(interval.isDue(MEAN_NS / 2)).isFalse();
            assertThat(interval.isDue(MEAN_NS)).isTrue();
        }
    }
}
