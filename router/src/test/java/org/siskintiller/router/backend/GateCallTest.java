package org.siskintiller.router.backend;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class GateCallTest {
    private final GateCall call = Calls.call(Calls.request(0), 0);

    @Nested
    class Moving {
        /** Guards against a request that runs and waits at the same time, and so would run twice. */
        @Test
        void isRefusedOnceTheRequestIsOnItsWay() {
            call.queued();
            call.connecting("backend");

            assertThrows(IllegalStateException.class, () -> call.withPlace(QueuePlace.late(call.request()), 1));
        }

        /** Guards against the place that was left: it must not be sent either. */
        @Test
        void leavesTheOldPlaceForGood() {
            call.queued();
            GateCall late = call.withPlace(QueuePlace.late(call.request()), 1);

            assertThrows(IllegalStateException.class, () -> call.connecting("backend"));
            late.connecting("backend");
            assertThat(late.state()).isEqualTo(GateCall.State.CONNECTING);
        }
    }
}
