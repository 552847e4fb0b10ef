package org.siskintiller.core.quarantine;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.model.Incarnation;

import static com.google.common.truth.Truth.assertThat;

class OwnLossesTest {
    private static final Incarnation A = new Incarnation(1);
    private static final Incarnation B = new Incarnation(2);
    private static final long HOUR_MS = 3_600_000;

    private final Quarantine quarantine = new Quarantine();
    private final OwnLosses losses = new OwnLosses();

    /** Guards against a record that keeps a loss which a response has cleared. */
    @Test
    void leavesOutWhatIsCleared() {
        lose(7, A);
        lose(7, B);
        lose(8, B);
        assertThat(losses.suspected(quarantine, 0, 0)).hasSize(2);

        quarantine.addSuspicions(List.of(new Suspicion(7, Set.of(), Set.of(A))), 0);
        assertThat(losses.suspected(quarantine, 0, 0))
                .containsExactly(new RecordedLoss(7, Set.of(B), 0), new RecordedLoss(8, Set.of(B), 0));

        quarantine.recordResponse(8, 0);
        assertThat(losses.suspected(quarantine, 0, 0)).containsExactly(new RecordedLoss(7, Set.of(B), 0));
    }

    /** Guards against a loss that counts for ever because each new process reads it again. */
    @Test
    void leavesOutWhatIsOld() {
        lose(7, A);

        assertThat(losses.suspected(quarantine, 0, HOUR_MS)).hasSize(1);
        assertThat(losses.suspected(quarantine, 0, HOUR_MS + 1)).isEmpty();
    }

    /** Guards against a record without bound. */
    @Test
    void isBounded() {
        for (int i = 0; i < 2 * OwnLosses.MAX_REQUESTS; i++) {
            lose(i, A);
        }

        List<RecordedLoss> kept = losses.suspected(quarantine, 0, 0);
        assertThat(kept).hasSize(OwnLosses.MAX_REQUESTS);
        assertThat(kept.get(0).fingerprint()).isEqualTo(OwnLosses.MAX_REQUESTS);
    }

    private void lose(long fingerprint, Incarnation run) {
        quarantine.recordLoss(fingerprint, run, 0);
        losses.add(new RecordedLoss(fingerprint, Set.of(run), 0));
    }
}
