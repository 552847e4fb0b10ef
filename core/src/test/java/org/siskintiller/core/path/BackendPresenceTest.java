package org.siskintiller.core.path;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.path.BackendPresence.Announcement;

import static com.google.common.truth.Truth.assertThat;

class BackendPresenceTest {
    private static final long MS = 1_000_000;

    private final BackendPresence presence = new BackendPresence(2_000);

    @Nested
    class Leaving {
        /** Guards against requests that reach a backend server after the drain time. */
        @Test
        void acceptsOnlyInTheFirstPartOfTheDrainTime() {
            presence.announced(announcement(1, 1, false), 0);
            presence.announced(announcement(1, 2, true), 1_000 * MS);

            assertThat(presence.isAvailable(1_000 * MS)).isFalse();
            assertThat(presence.accepts(1_900 * MS)).isTrue();
            assertThat(presence.accepts(2_100 * MS)).isFalse();
        }

        /** Guards against a drain time that starts again with each heartbeat. */
        @Test
        void countsFromTheFirstMessage() {
            presence.announced(announcement(1, 1, false), 0);
            presence.announced(announcement(1, 2, true), 0);
            presence.announced(announcement(1, 3, true), 900 * MS);

            assertThat(presence.accepts(1_500 * MS)).isFalse();
        }

        /** Guards against a restarted companion that allows the drain time a second time. */
        @Test
        void acceptsNothingOfARunThatDrainsWhenFirstSeen() {
            presence.announced(announcement(1, 7, true), 0);

            assertThat(presence.accepts(0)).isFalse();
        }

        /** Guards against a restarted backend server that is treated as the run that left. */
        @Test
        void endsWithANewRun() {
            presence.announced(announcement(1, 1, true), 0);
            presence.announced(announcement(2, 1, false), 5_000 * MS);

            assertThat(presence.isAvailable(5_000 * MS)).isTrue();
        }

        @Test
        void ignoresTheLeaveOfAnotherBackendServer() {
            presence.announced(announcement(1, 1, false), 0);
            presence.left("another", 0);

            assertThat(presence.leaving()).isFalse();
        }
    }

    @Nested
    class Ordering {
        /** Guards against a heartbeat that was delayed and arrives after a newer one. */
        @Test
        void rejectsOlderHeartbeats() {
            assertThat(presence.announced(announcement(2, 5, false), 0)).isTrue();

            assertThat(presence.announced(announcement(2, 5, true), 0)).isFalse();
            assertThat(presence.announced(announcement(1, 9, true), 0)).isFalse();
            assertThat(presence.leaving()).isFalse();
        }

        /** Guards against other companions that choose a backend server without heartbeats. */
        @Test
        void isUnavailableWithoutHeartbeats() {
            presence.announced(announcement(1, 1, false), 0);

            assertThat(presence.isAvailable(2_600 * MS)).isTrue();
            assertThat(presence.isAvailable(2_800 * MS)).isFalse();
        }
    }

    private static Announcement announcement(long run, long sequence, boolean draining) {
        return new Announcement("i-" + run, run, sequence, "service", 12, draining, 0);
    }
}
