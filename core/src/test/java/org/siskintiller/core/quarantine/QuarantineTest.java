package org.siskintiller.core.quarantine;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.Incarnation;

import static com.google.common.truth.Truth.assertThat;

class QuarantineTest {
    private static final Incarnation A = new Incarnation(1);
    private static final Incarnation B = new Incarnation(2);

    private final Quarantine quarantine = new Quarantine();

    /** Guards against refusing a request after two broken connections of a single backend server. */
    @Test
    void countsDistinctBackendServers() {
        quarantine.recordLoss(7, A, 0);
        quarantine.recordLoss(7, A, 1);
        assertThat(quarantine.isRefused(7, 2)).isFalse();
        quarantine.addSuspicions(List.of(new Suspicion(7, Set.of(A, B))), 3);
        assertThat(quarantine.isRefused(7, 4)).isTrue();
        assertThat(quarantine.refused(4)).containsExactly(new Suspicion(7, Set.of(A, B)));
        assertThat(quarantine.isRefused(8, 4)).isFalse();
    }

    /** Guards against refusing a frequent request that was in flight at unrelated losses of backend servers. */
    @Test
    void clearsLossesAfterResponse() {
        quarantine.recordLoss(7, A, 0);
        quarantine.recordResponse(7, 1);
        quarantine.addSuspicions(List.of(new Suspicion(7, Set.of(A))), 2);
        assertThat(quarantine.isSuspected(7, 2)).isFalse();
        quarantine.recordLoss(7, B, 3);
        assertThat(quarantine.suspicion(7, 4)).hasValue(new Suspicion(7, Set.of(B)));
        assertThat(quarantine.isRefused(7, 4)).isFalse();
        quarantine.recordLoss(7, A, 5);
        assertThat(quarantine.isRefused(7, 6)).isTrue();
    }

    /** Guards against a loss that one companion has cleared and others hold against the request. */
    @Test
    void clearsWhatAnotherCompanionHasCleared() {
        Quarantine other = new Quarantine();
        quarantine.recordLoss(7, A, 0);
        other.addSuspicions(List.of(new Suspicion(7, Set.of(A))), 0);
        Suspicion cleared = other.recordResponse(7, 1).orElseThrow();

        quarantine.addSuspicions(List.of(cleared), 2);
        assertThat(quarantine.isSuspected(7, 2)).isFalse();

        quarantine.addSuspicions(List.of(new Suspicion(7, Set.of(A, B))), 3);
        assertThat(quarantine.isRefused(7, 3)).isFalse();
        assertThat(quarantine.suspicions(3)).containsExactly(new Suspicion(7, Set.of(B)));
    }

    /** Guards against suspicions that grow without bound or never expire. */
    @Test
    void isBounded() {
        for (long fingerprint = 0; fingerprint < Quarantine.MAX_SUSPICIONS + 10L; fingerprint++) {
            quarantine.recordLoss(fingerprint, A, fingerprint);
        }
        assertThat(quarantine.size()).isEqualTo(Quarantine.MAX_SUSPICIONS);
        assertThat(quarantine.isSuspected(0, 0)).isFalse();
        long fingerprint = Quarantine.MAX_SUSPICIONS;
        quarantine.addSuspicions(List.of(new Suspicion(fingerprint, Set.of(A))), Quarantine.SUSPICION_LIFETIME_NS);
        assertThat(quarantine.isSuspected(fingerprint, fingerprint + Quarantine.SUSPICION_LIFETIME_NS + 1))
                .isFalse();
    }
}
