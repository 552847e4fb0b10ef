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
        /** Guards against a small fleet that takes longer than a second to detect a lost companion. */
        @Test
        void usesMinimumIntervals() {
            intervals.setCompanions(15);

            assertThat(intervals.isSmallFleet()).isTrue();
            assertThat(intervals.statusIntervalNs()).isEqualTo(SECOND_NS / 2);
            assertThat(intervals.unresponsiveAfterNs()).isLessThan(SECOND_NS);
            assertThat(FleetIntervals.minReadIntervalMs(5, 0)).isAtMost(20);
        }
    }

    @Nested
    class LargeFleet {
        /** Guards against traffic per companion that grows with the number of companions. */
        @Test
        void keepsStatusRatePerCompanionConstant() {
            intervals.setCompanions(32);
            double smallerFleetRate = 32.0 / intervals.statusIntervalNs();
            intervals.setCompanions(300);
            double largerFleetRate = 300.0 / intervals.statusIntervalNs();

            assertThat(largerFleetRate / smallerFleetRate).isWithin(0.01).of(1);
        }

        /** Guards against reads beyond the rate of the store while all companions read, as at the start. */
        @Test
        void limitsTheReadsOfCompanionsThatAllRead() {
            double readsPerS = 300 * 1_000.0 / FleetIntervals.minReadIntervalMs(1, 299);

            assertThat(readsPerS).isAtMost(100.0);
        }

        /** Guards against a live companion that counts as unresponsive between two status frames. */
        @Test
        void derivesTimeoutsFromStatusInterval() {
            intervals.setCompanions(91);

            assertThat(intervals.unresponsiveAfterNs()).isGreaterThan(intervals.statusIntervalNs());
            assertThat(intervals.silentAfterNs()).isGreaterThan(intervals.unresponsiveAfterNs());
        }
    }
}
