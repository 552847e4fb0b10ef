package org.siskintiller.router.request;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.path.RequestKind;

import static com.google.common.truth.Truth.assertThat;

class AttemptPolicyTest {
    @Nested
    class AfterARefusal {
        /** Load pattern: one backend server is full. Guards against a caller that is refused while others are idle. */
        @Test
        void asksAnotherCompanion() {
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.OVERLOADED, false, 1))
                    .isEqualTo(AttemptPolicy.Next.ANOTHER);
        }

        /** Load pattern: all are full. Guards against a request that is passed round the whole fleet. */
        @Test
        void refusesAfterAFewCompanions() {
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.OVERLOADED, false, 4))
                    .isEqualTo(AttemptPolicy.Next.REFUSE);
        }

        /** Load pattern: a hot key. Only its holder can run it, so waiting for another one is useless. */
        @Test
        void refusesAKeyWhoseHolderIsFull() {
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.OVERLOADED, true, 1))
                    .isEqualTo(AttemptPolicy.Next.REFUSE);
        }

        /** Guards against a refusal while the key is on its way to another holder. */
        @Test
        void waitsForAKeyThatChangesHands() {
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.NOT_HOLDER, true, 1))
                    .isEqualTo(AttemptPolicy.Next.PARK);
            assertThat(AttemptPolicy.afterRefusal(RefusalReason.UNREACHABLE, true, 1))
                    .isEqualTo(AttemptPolicy.Next.PARK);
        }
    }

    @Nested
    class AfterAFailure {
        /** Guards against a second run of a request that must not be repeated. */
        @Test
        void neverRepeatsANonIdempotentRequest() {
            assertThat(AttemptPolicy.mayRepeat(RequestKind.NON_IDEMPOTENT, 0, 10))
                    .isFalse();
        }

        @Test
        void repeatsOthersUpToTheLimitOfTheRoute() {
            assertThat(AttemptPolicy.mayRepeat(RequestKind.DOWNLOAD, 1, 2)).isTrue();
            assertThat(AttemptPolicy.mayRepeat(RequestKind.IDEMPOTENT, 2, 2)).isFalse();
        }
    }
}
