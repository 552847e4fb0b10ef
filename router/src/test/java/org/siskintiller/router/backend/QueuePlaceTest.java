package org.siskintiller.router.backend;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class QueuePlaceTest {
    @Nested
    class Choosing {
        /** Load pattern: a stalled call holds a slot elsewhere. Guards against calls that wait behind new work. */
        @Test
        void putsCallsOfRunningRequestsFirst() {
            QueuePlace place = QueuePlace.of(Calls.request(1, true), Calls.OBJECTIVE_NS + 1);

            assertThat(place).isEqualTo(new QueuePlace(GateSettings.INTERNAL, Calls.DEADLINE_NS));
        }

        /** Load pattern: callers come back after refusals. Guards against late work before work that is in time. */
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
