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

        @Test
        void ordersTheOthersByPriorityAndObjective() {
            assertThat(QueuePlace.of(Calls.request(1), 0))
                    .isEqualTo(new QueuePlace(GateSettings.rank(2), Calls.OBJECTIVE_NS));
        }
    }
}
