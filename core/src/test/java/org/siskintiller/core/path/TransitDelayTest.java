package org.siskintiller.core.path;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against delays that are taken from the difference of two unrelated clocks. */
class TransitDelayTest {
    private final TransitDelay transit = new TransitDelay();

    private long delayMs(long sentMs, long receivedMs) {
        return transit.delayMs((int) sentMs, TimeUnit.MILLISECONDS.toNanos(receivedMs));
    }

    @Nested
    class FullLink {
        @Test
        void countsTheWaitBeyondTheFastestMessage() {
            assertThat(delayMs(1_000, 500_003)).isEqualTo(0);
            assertThat(delayMs(1_100, 500_102)).isEqualTo(0);
            assertThat(delayMs(1_200, 500_902)).isEqualTo(700);
            assertThat(delayMs(1_900, 500_902)).isEqualTo(0);
        }

        @Test
        void clocksMayWrapAround() {
            assertThat(delayMs(Integer.MAX_VALUE, 10)).isEqualTo(0);
            assertThat(delayMs(Integer.MAX_VALUE + 100L, 160)).isEqualTo(50);
        }
    }

    @Nested
    class ShiftedClock {
        @Test
        void ofASenderThatWasSuspendedCountsForTwoWindowsAtMost() {
            delayMs(0, 0);
            long suspendedMs = 900;
            assertThat(delayMs(1_000, 1_000 + suspendedMs)).isEqualTo(suspendedMs);
            for (int ms = 1_100; ms < 12_000; ms += 100) {
                delayMs(ms, ms + suspendedMs);
            }
            assertThat(delayMs(12_000, 12_000 + suspendedMs)).isEqualTo(0);
        }
    }
}
