package org.siskintiller.router.peer;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FleetIntervalsTest {
    private static final long SECOND_NS = TimeUnit.SECONDS.toNanos(1);

    private final FleetIntervals intervals = new FleetIntervals();

    @Nested
    class SmallFleet {
        /** Guards against a small fleet that notices a lost companion later than in a second. */
        @Test
        void keepsTheShortIntervals() {
            intervals.setCompanions(15);

            assertThat(intervals.isSmallFleet()).isTrue();
            assertThat(intervals.statusIntervalNs()).isEqualTo(SECOND_NS / 2);
            assertThat(intervals.unresponsiveAfterNs()).isLessThan(SECOND_NS);
            assertThat(intervals.readWaitMs(8_000)).isEqualTo(8_000);
        }
    }

    @Nested
    class LargeFleet {
        /** Guards against traffic of each companion that grows with their number. */
        @Test
        void sendsAboutAsMuchForEachCompanion() {
            intervals.setCompanions(32);
            double small = 32.0 / intervals.statusIntervalNs();
            intervals.setCompanions(300);
            double large = 300.0 / intervals.statusIntervalNs();

            assertThat(large / small).isWithin(0.01).of(1);
        }

        /** Guards against a read that the store refuses because of its wait. */
        @Test
        void waitsNoLongerThanTheStoreAccepts() {
            intervals.setCompanions(5_200);

            assertThat(intervals.readWaitMs(8_000)).isAtMost(30_000);
        }

        /** Guards against a live companion that counts as silent between two statuses. */
        @Test
        void allowsForTheIntervalOfTheStatus() {
            intervals.setCompanions(91);

            assertThat(intervals.unresponsiveAfterNs()).isGreaterThan(intervals.statusIntervalNs());
            assertThat(intervals.silentAfterNs()).isGreaterThan(intervals.unresponsiveAfterNs());
        }
    }
}
