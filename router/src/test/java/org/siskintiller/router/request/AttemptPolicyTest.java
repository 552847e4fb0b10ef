package org.siskintiller.router.request;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.path.RequestKind;

import static com.google.common.truth.Truth.assertThat;

class AttemptPolicyTest {
    @Nested
    class AfterARefusal {
        /** Load pattern: one backend server is full. Guards against a refusal while others are idle. */
        @Test
        void triesAnotherCompanion() {
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.OVERLOADED, false, 1))
                    .isEqualTo(AttemptPolicy.Next.ANOTHER);
        }

        /** Load pattern: all backend servers are full. Guards against a request that is sent to the whole fleet. */
        @Test
        void refusesAfterAFewCompanions() {
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.OVERLOADED, false, 4))
                    .isEqualTo(AttemptPolicy.Next.REFUSE);
        }

        /** Load pattern: a hot key. Guards against a wait for another holder: only one backend server can run it. */
        @Test
        void refusesAKeyWhoseHolderIsFull() {
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.OVERLOADED, true, 1))
                    .isEqualTo(AttemptPolicy.Next.REFUSE);
        }

        /** Guards against a refusal while the key moves to another holder. */
        @Test
        void waitsForAKeyThatMoves() {
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.NOT_HOLDER, true, 1))
                    .isEqualTo(AttemptPolicy.Next.PARK);
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.UNREACHABLE, true, 1))
                    .isEqualTo(AttemptPolicy.Next.PARK);
        }
    }

    @Nested
    class AfterAFailure {
        /** Guards against a second run of a request that must not run twice. */
        @Test
        void neverRetriesANonIdempotentRequest() {
            assertThat(AttemptPolicy.mayRetry(RequestKind.NON_IDEMPOTENT, 0, 10))
                    .isFalse();
        }

        @Test
        void retriesOthersUpToTheLimitOfTheRoute() {
            assertThat(AttemptPolicy.mayRetry(RequestKind.DOWNLOAD, 1, 2)).isTrue();
            assertThat(AttemptPolicy.mayRetry(RequestKind.IDEMPOTENT, 2, 2)).isFalse();
        }
    }
}
