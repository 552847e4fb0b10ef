package org.siskintiller.node.runtime;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Incarnation;

import static com.google.common.truth.Truth.assertThat;

class PeerTrackerTest {
    private static final Incarnation OTHER = new Incarnation(5);

    private final PeerTracker tracker = new PeerTracker();

    /** Guards against requests that are still sent to a companion that does not respond. */
    @Test
    void skipsSuspectedCompanionUntilItResponds() {
        assertThat(tracker.shouldSkip(OTHER)).isFalse();
        tracker.markSuspected(OTHER);
        assertThat(tracker.shouldSkip(OTHER)).isTrue();
        tracker.responseReceived(OTHER);
        assertThat(tracker.shouldSkip(OTHER)).isFalse();
    }

    /** Guards against a false suspicion that keeps requests away from an owner for seconds. */
    @Test
    void probesSuspectedCompanion() throws InterruptedException {
        tracker.markSuspected(OTHER);
        boolean probed = false;
        for (int i = 0; i < 500 && !probed; i++) {
            Thread.sleep(10);
            probed = !tracker.shouldSkip(OTHER);
        }
        assertThat(probed).isTrue();
        assertThat(tracker.isSuspected(OTHER)).isTrue();
        assertThat(tracker.shouldSkip(OTHER)).isTrue();
    }
}
