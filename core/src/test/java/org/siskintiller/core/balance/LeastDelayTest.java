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
        void prefersAFastBackendServerWithMoreInFlight() {
            DelayEstimate slow = new DelayEstimate("slow", load(6, 0, 300_000), 0, 0, 0);
            DelayEstimate fast = new DelayEstimate("fast", load(11, 0, 100_000), 0, 0, 0);

            assertThat(LeastDelay.choose(List.of(slow, fast), Set.of())).hasValue("fast");
        }

        /** Load pattern: a burst between two load reports. Guards against one backend server receiving all of it. */
        @Test
        void countsRequestsSentSinceTheReport() {
            DelayEstimate first = new DelayEstimate("first", load(0, 0, 100_000), 20, 0, 0);
            DelayEstimate second = new DelayEstimate("second", load(5, 0, 100_000), 0, 0, 0);

            assertThat(LeastDelay.choose(List.of(first, second), Set.of())).hasValue("second");
        }

        /** Load pattern: a backend server that fails fast seems idle. Guards against it receiving most requests. */
        @Test
        void avoidsAFailingBackendServer() {
            DelayEstimate failing = new DelayEstimate("failing", load(0, 0, 60_000), 0, 0.5, 0);
            DelayEstimate busy = new DelayEstimate("busy", load(11, 0, 60_000), 0, 0, 0);

            assertThat(LeastDelay.choose(List.of(failing, busy), Set.of())).hasValue("busy");
        }

        /** Guards against requests that queue in their own failure domain while another one is idle. */
        @Test
        void choosesAnotherDomainWhenTheOwnOneIsFull() {
            DelayEstimate near = new DelayEstimate("near", load(12, 12, 100_000), 0, 0, 0);
            DelayEstimate far = new DelayEstimate("far", load(0, 0, 100_000), 0, 0, 15_000_000);

            assertThat(LeastDelay.choose(List.of(near, far), Set.of())).hasValue("far");
        }

        @Test
        void omitsExcludedBackendServers() {
            DelayEstimate only = new DelayEstimate("only", BackendLoad.UNKNOWN, 0, 0, 0);

            assertThat(LeastDelay.choose(List.of(only), Set.of("only"))).isEmpty();
        }
    }

    private static BackendLoad load(int running, int queued, int meanUs) {
        return new BackendLoad(running, queued, 12, meanUs);
    }
}
