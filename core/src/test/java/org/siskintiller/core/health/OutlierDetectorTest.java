package org.siskintiller.core.health;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.health.EjectionLimit.Ejection;
import org.siskintiller.core.model.Incarnation;

import static com.google.common.truth.Truth.assertThat;

class OutlierDetectorTest {
    private static final long MS = 1_000_000;

    private final OutlierDetector detector = new OutlierDetector();

    /** Guards against a frozen backend server that is not ejected after more than a second without a response. */
    @Test
    void ejectsWithoutResponse() {
        detector.dispatched(0);
        detector.completed(10 * MS, 10 * MS);
        detector.dispatched(20 * MS);
        detector.tick(1_019 * MS);
        assertThat(detector.state()).isEqualTo(HealthState.SERVING);
        detector.tick(1_021 * MS);
        assertThat(detector.state()).isEqualTo(HealthState.EJECTED);
    }

    /** Guards against ejecting a backend server whose requests usually take longer than a second. */
    @Test
    void allowsForLongRequests() {
        detector.dispatched(0);
        detector.completed(900 * MS, 900 * MS);
        detector.dispatched(1_000 * MS);
        detector.tick(3_000 * MS);
        assertThat(detector.state()).isEqualTo(HealthState.SERVING);
    }

    /** Guards against ejecting an idle backend server. */
    @Test
    void toleratesIdleness() {
        detector.tick(60_000 * MS);
        assertThat(detector.state()).isEqualTo(HealthState.SERVING);
    }

    /** Guards against full load on a cold backend server, and against a return while it still fails. */
    @Test
    void returnsInSteps() {
        failAll(0);
        assertThat(detector.state()).isEqualTo(HealthState.EJECTED);
        assertThat(detector.allowedShare()).isEqualTo(0.0);
        detector.tick(1_500 * MS);
        assertThat(detector.state()).isEqualTo(HealthState.EJECTED);
        detector.loadReported(1_600 * MS);
        detector.tick(1_600 * MS);
        assertThat(detector.state()).isEqualTo(HealthState.RETURNING);
        double share = detector.allowedShare();
        detector.tick(2_700 * MS);
        assertThat(detector.allowedShare()).isGreaterThan(share);
        failAll(2_800);
        detector.loadReported(2_900 * MS);
        detector.tick(4_000 * MS);
        assertThat(detector.state()).isEqualTo(HealthState.EJECTED);
        detector.tick(4_900 * MS);
        assertThat(detector.state()).isEqualTo(HealthState.RETURNING);
        for (long second = 6; second < 11; second++) {
            detector.tick(second * 1_000 * MS);
        }
        assertThat(detector.state()).isEqualTo(HealthState.SERVING);
    }

    /** Guards against a backend server that refuses all requests quickly and therefore attracts more of them. */
    @Test
    void ejectsAfterRefusalsOnly() {
        for (int i = 0; i < 10; i++) {
            detector.dispatched(i * 30 * MS);
            detector.refused(i * 30 * MS);
        }
        assertThat(detector.state()).isEqualTo(HealthState.EJECTED);
    }

    /** Guards against an ejection for timeouts in an overload while other requests complete. */
    @Test
    void toleratesTimeoutsBetweenResponses() {
        for (int i = 0; i < 10; i++) {
            detector.dispatched(i * 100 * MS);
        }
        detector.completed(MS, 950 * MS);
        for (int i = 0; i < 9; i++) {
            detector.timedOut(i * 100 * MS, 960 * MS);
        }
        assertThat(detector.state()).isEqualTo(HealthState.SERVING);
    }

    /** Guards against a common fault that ejects all backend servers of a service. */
    @Test
    void limitsEjectionsToAThird() {
        List<Ejection> ejections = List.of(
                new Ejection(new Incarnation(1), 30),
                new Ejection(new Incarnation(2), 10),
                new Ejection(new Incarnation(3), 20));
        assertThat(EjectionLimit.effective(6, ejections)).containsExactly(new Incarnation(2), new Incarnation(3));
        assertThat(EjectionLimit.effective(2, ejections)).isEmpty();
    }

    private void failAll(long nowMs) {
        for (int i = 0; i < OutlierDetector.CONSECUTIVE_FAILURES; i++) {
            detector.dispatched(nowMs * MS);
            detector.failed(nowMs * MS);
        }
    }
}
