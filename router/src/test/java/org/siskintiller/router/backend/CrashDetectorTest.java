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

    private final CrashDetector detector = new CrashDetector();
    private final List<Suspicion> published = new ArrayList<>();

    @BeforeEach
    void listen() {
        detector.onSuspicion(published::addAll);
    }

    @Nested
    class Suspecting {
        /** Guards against a request that crashes one backend server after the other. */
        @Test
        void refusesARequestThatWasRunningWhenTwoRunsWereLost() {
            detector.connectionLost(REQUEST, 1, 0);
            detector.runStarted(S);
            assertThat(detector.isRefused(REQUEST, S)).isFalse();

            detector.connectionLost(REQUEST, 2, 10 * S);
            detector.connectionRefused(10 * S + 1);

            assertThat(detector.isRefused(REQUEST, 11 * S)).isTrue();
            assertThat(published).hasSize(2);
        }

        /** Guards against a request that is refused for lost connections of a backend server that keeps running. */
        @Test
        void ignoresLostConnectionsWithoutACrash() {
            detector.connectionLost(REQUEST, 1, 0);
            detector.connectionLost(REQUEST, 1, S);
            detector.runStarted(20 * S);

            assertThat(published).isEmpty();
        }

        /** Guards against a frequent request that is refused because it happens to be running at each crash. */
        @Test
        void clearsARequestThatCompletes() {
            detector.connectionLost(REQUEST, 1, 0);
            detector.runStarted(S);
            detector.responseReceived(REQUEST, 2 * S);
            detector.connectionLost(REQUEST, 2, 10 * S);
            detector.runStarted(11 * S);

            assertThat(detector.isRefused(REQUEST, 11 * S)).isFalse();
        }
    }
}
