package org.siskintiller.core.lease;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ElectionTest {
    private static final long MS = 1_000_000;

    private final Election election = new Election();

    @Nested
    class Claiming {
        /** Guards against a vacant authority that no instance claims. */
        @Test
        void claimsAtOnceAsTheFirstCandidate() {
            assertThat(election.shouldClaim(vacant(), () -> 0, 0)).isTrue();
        }

        /** Guards against appends of many candidates at the same time. */
        @Test
        void waitsForEarlierCandidates() {
            assertThat(election.shouldClaim(vacant(), () -> 2, 0)).isFalse();
            assertThat(election.shouldClaim(vacant(), () -> 2, 299 * MS)).isFalse();
            assertThat(election.shouldClaim(vacant(), () -> 2, 300 * MS)).isTrue();
        }

        /** Guards against an authority without the store, under which no key can change hands. */
        @Test
        void replacesAnAuthorityWithoutTheStore() {
            Election.View view = new Election.View(true, false, false, 10_000 * MS, 4_000 * MS, true, true, false);

            assertThat(election.shouldClaim(view, () -> 0, 10_000 * MS)).isTrue();
        }
    }

    @Nested
    class NotClaiming {
        /** Guards against an isolated machine that deposes an authority that all others reach. */
        @Test
        void doesNotClaimWhilePeersReceiveMessagesOfTheAuthority() {
            Election.View view = new Election.View(true, false, false, 0, 0, true, true, false);

            assertThat(election.shouldClaim(view, () -> 0, 10_000 * MS)).isFalse();
        }

        @Test
        void needsTheStore() {
            Election.View view = new Election.View(true, true, false, 0, 0, false, false, false);

            assertThat(election.shouldClaim(view, () -> 0, 10_000 * MS)).isFalse();
        }

        /** Guards against an authority that is claimed by a stopping process and ends with it. */
        @Test
        void doesNotClaimWhileStopping() {
            Election.View view = new Election.View(true, true, false, 0, 0, false, true, true);

            assertThat(election.shouldClaim(view, () -> 0, 10_000 * MS)).isFalse();
        }
    }

    private static Election.View vacant() {
        return new Election.View(true, true, false, 0, 0, false, true, false);
    }
}
