package org.siskintiller.router.peer;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FleetPaceTest {
    private static final long SECOND_NS = TimeUnit.SECONDS.toNanos(1);

    private final FleetPace pace = new FleetPace();

    @Nested
    class SmallFleet {
        /** Guards against a small fleet that notices a lost companion later than in a second. */
        @Test
        void keepsTheShortIntervals() {
            pace.setCompanions(15);

            assertThat(pace.isSmall()).isTrue();
            assertThat(pace.statusIntervalNs()).isEqualTo(SECOND_NS / 2);
            assertThat(pace.unresponsiveNs()).isLessThan(SECOND_NS);
            assertThat(pace.readWaitMs(8_000)).isEqualTo(8_000);
        }
    }

    @Nested
    class LargeFleet {
        /** Guards against traffic of each companion that grows with their number. */
        @Test
        void sendsAboutAsMuchForEachCompanion() {
            pace.setCompanions(32);
            double small = 32.0 / pace.statusIntervalNs();
            pace.setCompanions(300);
            double large = 300.0 / pace.statusIntervalNs();

            assertThat(large / small).isWithin(0.01).of(1);
        }

        /** Guards against a read that the store refuses because of its wait. */
        @Test
        void waitsNoLongerThanTheStoreAccepts() {
            pace.setCompanions(5_200);

            assertThat(pace.readWaitMs(8_000)).isAtMost(30_000);
        }

        /** Guards against a live companion that counts as silent between two statuses. */
        @Test
        void allowsForTheIntervalOfTheStatus() {
            pace.setCompanions(91);

            assertThat(pace.unresponsiveNs()).isGreaterThan(pace.statusIntervalNs());
            assertThat(pace.silentNs()).isGreaterThan(pace.unresponsiveNs());
        }
    }
}
