package org.siskintiller.router.backend;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class QueuePlaceTest {
    @Nested
    class Choosing {
        /** Load pattern: a delayed call occupies a slot elsewhere. Guards against calls that wait behind requests. */
        @Test
        void putsInternalCallsFirst() {
            QueuePlace place = QueuePlace.of(Calls.request(1, true), Calls.OBJECTIVE_NS + 1);

            assertThat(place).isEqualTo(new QueuePlace(GateSettings.INTERNAL, Calls.DEADLINE_NS));
        }

        /** Load pattern: callers retry after refusals. Guards against late requests that delay the others. */
        @Test
        void putsARequestPastItsObjectiveLast() {
            assertThat(QueuePlace.of(Calls.request(1), Calls.OBJECTIVE_NS).rank())
                    .isEqualTo(GateSettings.LATE);
        }

        /**
         * Load pattern: more late requests than slots. Guards against a late request that waits until its caller has no
         * time left to return.
         */
        @Test
        void limitsTheWaitOfALateRequest() {
            long nowNs = Calls.OBJECTIVE_NS;
            long remainingNs = Calls.DEADLINE_NS - nowNs;

            QueuePlace place = QueuePlace.of(Calls.request(1), nowNs);

            assertThat(place.deadlineNs()).isGreaterThan(nowNs + remainingNs / 2);
            assertThat(place.deadlineNs()).isAtMost(Calls.DEADLINE_NS - remainingNs / 3);
        }

        @Test
        void ordersTheOthersByPriorityAndObjective() {
            assertThat(QueuePlace.of(Calls.request(1), 0))
                    .isEqualTo(new QueuePlace(GateSettings.rank(2), Calls.OBJECTIVE_NS));
        }
    }
}
