package org.siskintiller.core.path;

import java.util.OptionalLong;

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

        /** Guards against a late message of an ended run that ends its successor under the same name. */
        @Test
        void ignoresTheLeaveOfAnEarlierRun() {
            presence.announced(announcement(2, 1, false), 0);
            presence.left("i-2", OptionalLong.of(1), 0, 0);

            assertThat(presence.leaving()).isFalse();
        }

        @Test
        void followsTheLeaveOfThePresentRun() {
            presence.announced(announcement(2, 1, false), 0);
            presence.left("i-2", OptionalLong.of(2), 0, 0);

            assertThat(presence.leaving()).isTrue();
        }

        /** Guards against requests for a run whose leave arrives before its first heartbeat. */
        @Test
        void followsTheLeaveOfARunThatIsNotKnownYet() {
            presence.left("i-2", OptionalLong.of(2), 0, 0);
            presence.announced(announcement(2, 1, false), 0);

            assertThat(presence.accepts(0)).isFalse();
        }

        @Test
        void ignoresTheLeaveOfAnotherBackendServer() {
            presence.announced(announcement(1, 1, false), 0);
            presence.left("another", OptionalLong.empty(), 0, 0);

            assertThat(presence.leaving()).isFalse();
        }
    }

    @Nested
    class LeavingEarlier {
        /** Guards against a delayed heartbeat that brings back a server whose leave an earlier process acknowledged. */
        @Test
        void acceptsNothingOfARunThatLeft() {
            presence.leftEarlier(BackendLeaves.NONE.with("i-1", 1), 0);
            presence.announced(announcement(1, 7, false), 0);

            assertThat(presence.isAvailable(0)).isFalse();
            assertThat(presence.accepts(0)).isFalse();
        }

        /** Guards against the same when the leave is learned after the heartbeat. */
        @Test
        void endsARunThatIsKnownAlready() {
            presence.announced(announcement(1, 7, false), 0);
            presence.leftEarlier(BackendLeaves.NONE.with("i-1", 1), 100 * MS);

            assertThat(presence.accepts(100 * MS)).isFalse();
        }

        /** Guards against a server that left before its first heartbeat arrived. */
        @Test
        void coversARunThatWasNotKnown() {
            presence.left("i-1", OptionalLong.empty(), 0, 1_000);
            presence.announced(announcement(1, 7, false), 0);

            assertThat(presence.accepts(0)).isFalse();
        }

        /** Guards against a later run under the same name that stays unused. */
        @Test
        void doesNotCoverALaterRun() {
            presence.leftEarlier(BackendLeaves.NONE.with("i-2", 1), 0);
            presence.announced(announcement(2, 1, false), 0);

            assertThat(presence.isAvailable(0)).isTrue();
        }

        /** Guards against the drain time of a present leave that ends when its own record is read. */
        @Test
        void keepsTheDrainTimeOfItsOwnLeave() {
            presence.announced(announcement(1, 1, false), 0);
            presence.left("i-1", OptionalLong.empty(), 0, 0);
            presence.leftEarlier(presence.leaves(), 100 * MS);

            assertThat(presence.accepts(500 * MS)).isTrue();
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

        /** Guards against a single message that ends the run of a backend server which still sends heartbeats. */
        @Test
        void changesTheRunOfALivingServerOnlyAfterASecondHeartbeat() {
            presence.announced(announcement(1, 1, false), 0);
            presence.announced(announcement(1, 2, false), 900 * MS);

            assertThat(presence.announced(announcement(2, 1, true), 1_000 * MS)).isFalse();
            assertThat(presence.announced(announcement(1, 3, false), 1_800 * MS))
                    .isTrue();
            assertThat(presence.announced(announcement(2, 2, true), 1_900 * MS)).isFalse();
            assertThat(presence.current().run()).isEqualTo(1);

            assertThat(presence.announced(announcement(2, 2, false), 2_000 * MS))
                    .isFalse();
            assertThat(presence.announced(announcement(2, 3, false), 2_800 * MS))
                    .isTrue();
            assertThat(presence.current().run()).isEqualTo(2);
        }

        /** Guards against a restarted backend server that is unknown for longer than its restart took. */
        @Test
        void changesTheRunOfASilentOrLeavingServerAtOnce() {
            presence.announced(announcement(1, 1, false), 0);
            presence.announced(announcement(1, 2, false), 900 * MS);
            assertThat(presence.announced(announcement(2, 1, false), 3_000 * MS))
                    .isTrue();

            presence.announced(announcement(2, 2, true), 3_900 * MS);
            assertThat(presence.announced(announcement(3, 1, false), 4_000 * MS))
                    .isTrue();
        }

        /** Guards against a late heartbeat of an ended run that delays the present one after a restart of the companion. */
        @Test
        void changesARunThatSentOneHeartbeatAtOnce() {
            presence.announced(announcement(1, 9, false), 0);

            assertThat(presence.announced(announcement(2, 1, false), 100 * MS)).isTrue();
        }

        /** Guards against a message with the start time of the present run and another name. */
        @Test
        void rejectsAnotherNameForTheSameRun() {
            presence.announced(announcement(1, 1, false), 0);

            assertThat(presence.announced(new Announcement("other", 1, 2, "service", 12, true, 0), 0))
                    .isFalse();
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
