package org.siskintiller.node.runtime;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendReadinessTest {
    private static final long SECOND_NS = 1_000_000_000L;

    private final BackendReadiness readiness = new BackendReadiness();

    /** Guards against sessions that open and end repeatedly while a backend server keeps failing. */
    @Test
    void waitsLongerAfterEachLoss() {
        assertThat(readiness.recordAnnouncement(0)).isTrue();
        readiness.recordLoss(SECOND_NS);
        assertThat(readiness.isRecentlyAnnounced(SECOND_NS)).isFalse();
        assertThat(readiness.recordAnnouncement(SECOND_NS + 1)).isFalse();
        assertThat(readiness.recordAnnouncement(2 * SECOND_NS)).isTrue();
        readiness.recordLoss(3 * SECOND_NS);
        assertThat(readiness.recordAnnouncement(4 * SECOND_NS)).isFalse();
        assertThat(readiness.recordAnnouncement(5 * SECOND_NS)).isTrue();
    }

    /** Guards against a session for a backend server that no longer announces itself. */
    @Test
    void needsRecentAnnouncement() {
        assertThat(readiness.isRecentlyAnnounced(0)).isFalse();
        readiness.recordAnnouncement(0);
        assertThat(readiness.isRecentlyAnnounced(SECOND_NS)).isTrue();
        assertThat(readiness.isRecentlyAnnounced(4 * SECOND_NS)).isFalse();
    }
}
