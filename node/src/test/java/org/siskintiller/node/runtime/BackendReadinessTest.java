package org.siskintiller.node.runtime;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BackendReadinessTest {
    private static final long SECOND_NS = 1_000_000_000L;

    private final BackendReadiness readiness = new BackendReadiness();

    /** Guards against sessions that open and end in turns while a backend server keeps failing. */
    @Test
    void waitsLongerAfterEachLoss() {
        assertThat(readiness.announced(0)).isTrue();
        readiness.lost(SECOND_NS);
        assertThat(readiness.recentlyAnnounced(SECOND_NS)).isFalse();
        assertThat(readiness.announced(SECOND_NS + 1)).isFalse();
        assertThat(readiness.announced(2 * SECOND_NS)).isTrue();
        readiness.lost(3 * SECOND_NS);
        assertThat(readiness.announced(4 * SECOND_NS)).isFalse();
        assertThat(readiness.announced(5 * SECOND_NS)).isTrue();
    }

    /** Guards against a session for a backend server that no longer announces itself. */
    @Test
    void needsRecentAnnouncement() {
        assertThat(readiness.recentlyAnnounced(0)).isFalse();
        readiness.announced(0);
        assertThat(readiness.recentlyAnnounced(SECOND_NS)).isTrue();
        assertThat(readiness.recentlyAnnounced(4 * SECOND_NS)).isFalse();
    }
}
