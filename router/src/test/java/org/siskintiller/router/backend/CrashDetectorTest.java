package org.siskintiller.router.backend;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.gate.Suspicion;

import static com.google.common.truth.Truth.assertThat;

class CrashDetectorTest {
    private static final long S = 1_000_000_000L;
    private static final long REQUEST = 42;

    private final CrashDetector watch = new CrashDetector();
    private final List<Suspicion> published = new ArrayList<>();

    @BeforeEach
    void listen() {
        watch.onSuspicion(published::addAll);
    }

    @Nested
    class Suspecting {
        /** Guards against a request that goes on to crash one backend server after the other. */
        @Test
        void refusesARequestThatWasRunningWhenTwoRunsWereLost() {
            watch.lostInFlight(REQUEST, 1, 0);
            watch.newRun(S);
            assertThat(watch.refuses(REQUEST, S)).isFalse();

            watch.lostInFlight(REQUEST, 2, 10 * S);
            watch.unreachable(10 * S + 1);

            assertThat(watch.refuses(REQUEST, 11 * S)).isTrue();
            assertThat(published).hasSize(2);
        }

        /** Guards against a request that is refused for lost connections of a backend server that lives on. */
        @Test
        void ignoresConnectionsThatWereLostAlone() {
            watch.lostInFlight(REQUEST, 1, 0);
            watch.lostInFlight(REQUEST, 1, S);
            watch.newRun(20 * S);

            assertThat(published).isEmpty();
        }

        /** Guards against a frequent request that is refused since it happens to be in flight at each loss. */
        @Test
        void forgivesARequestThatIsAnswered() {
            watch.lostInFlight(REQUEST, 1, 0);
            watch.newRun(S);
            watch.answered(REQUEST, 2 * S);
            watch.lostInFlight(REQUEST, 2, 10 * S);
            watch.newRun(11 * S);

            assertThat(watch.refuses(REQUEST, 11 * S)).isFalse();
        }
    }
}
