package org.siskintiller.node.runtime;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Incarnation;

import static com.google.common.truth.Truth.assertThat;

class PeerBoardTest {
    private static final Incarnation OTHER = new Incarnation(5);

    private final PeerBoard board = new PeerBoard();

    /** Guards against requests that keep going to a companion that does not answer. */
    @Test
    void passesSuspectOverUntilItAnswers() {
        assertThat(board.isPassedOver(OTHER)).isFalse();
        board.suspect(OTHER);
        assertThat(board.isPassedOver(OTHER)).isTrue();
        board.answered(OTHER);
        assertThat(board.isPassedOver(OTHER)).isFalse();
    }

    /** Guards against a false suspicion that takes away an owner's keys for seconds. */
    @Test
    void probesSuspect() throws InterruptedException {
        board.suspect(OTHER);
        boolean probed = false;
        for (int i = 0; i < 500 && !probed; i++) {
            Thread.sleep(10);
            probed = !board.isPassedOver(OTHER);
        }
        assertThat(probed).isTrue();
        assertThat(board.isSuspect(OTHER)).isTrue();
        assertThat(board.isPassedOver(OTHER)).isTrue();
    }
}
