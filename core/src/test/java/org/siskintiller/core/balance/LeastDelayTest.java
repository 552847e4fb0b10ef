package org.siskintiller.core.balance;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeastDelayTest {
    @Nested
    class Choosing {
        /** Load pattern: backend servers of different speed. Guards against equal shares that overload the slow one. */
        @Test
        void prefersAFastOneWithMoreInFlight() {
            DelayEstimate slow = new DelayEstimate("slow", load(6, 0, 300_000), 0, 0, 0);
            DelayEstimate fast = new DelayEstimate("fast", load(11, 0, 100_000), 0, 0, 0);

            assertThat(LeastDelay.choose(List.of(slow, fast), Set.of())).hasValue("fast");
        }

        /** Load pattern: a burst between two load reports. Guards against all of it going to the same place. */
        @Test
        void countsWhatWasSentSinceTheReport() {
            DelayEstimate first = new DelayEstimate("first", load(0, 0, 100_000), 20, 0, 0);
            DelayEstimate second = new DelayEstimate("second", load(5, 0, 100_000), 0, 0, 0);

            assertThat(LeastDelay.choose(List.of(first, second), Set.of())).hasValue("second");
        }

        /** Load pattern: one that fails fast seems idle. Guards against it drawing most requests. */
        @Test
        void avoidsOneThatFails() {
            DelayEstimate failing = new DelayEstimate("failing", load(0, 0, 60_000), 0, 0.5, 0);
            DelayEstimate busy = new DelayEstimate("busy", load(11, 0, 60_000), 0, 0, 0);

            assertThat(LeastDelay.choose(List.of(failing, busy), Set.of())).hasValue("busy");
        }

        /** Guards against a queue in the own failure domain while another domain is idle. */
        @Test
        void leavesTheOwnDomainWhenItIsFull() {
            DelayEstimate near = new DelayEstimate("near", load(12, 12, 100_000), 0, 0, 0);
            DelayEstimate far = new DelayEstimate("far", load(0, 0, 100_000), 0, 0, 15_000_000);

            assertThat(LeastDelay.choose(List.of(near, far), Set.of())).hasValue("far");
        }

        @Test
        void leavesOutTheExcluded() {
            DelayEstimate only = new DelayEstimate("only", BackendLoad.UNKNOWN, 0, 0, 0);

            assertThat(LeastDelay.choose(List.of(only), Set.of("only"))).isEmpty();
        }
    }

    private static BackendLoad load(int running, int queued, int meanUs) {
        return new BackendLoad(running, queued, 12, meanUs);
    }
}
