package org.siskintiller.router.backend;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.lease.BackendHeartbeat;
import org.siskintiller.core.lease.KeyHolder;

import static com.google.common.truth.Truth.assertThat;

class GrantWaitersTest {
    private static final long RUN = 1;

    private final KeyHolder keys = new KeyHolder(10_000, -60_000 * Calls.MS);
    private final GrantWaiters waiters = new GrantWaiters(keys);
    private final GateCall call = Calls.call(Calls.request(7), 0);

    @BeforeEach
    void assign() {
        keys.assign(List.of(new KeyGrant(new KeyRange(0, 99), "self", RUN, 1, "")));
        waiters.add(call);
    }

    @Nested
    class Waiting {
        /** Load pattern: keys move to a new holder. Guards against requests that wait although their key is granted. */
        @Test
        void endsWithTheGrant() {
            assertThat(waiters.removeGranted(0)).isEmpty();
            keys.renewed(0, 3_500);
            keys.processHeartbeat(new BackendHeartbeat(RUN, 1, List.of(), List.of()), 0);

            assertThat(waiters.removeGranted(10 * Calls.MS)).containsExactly(call);
            assertThat(waiters.size()).isEqualTo(0);
        }

        /** Guards against a request that waits until it can no longer be served in time. */
        @Test
        void endsAtHalfOfTheObjective() {
            assertThat(waiters.removeUnservable(249 * Calls.MS, 0)).isEmpty();
            assertThat(waiters.removeUnservable(251 * Calls.MS, 0)).containsExactly(call);
        }

        /** Guards against a request that waits for a key that is assigned to another backend server. */
        @Test
        void endsWhenTheKeyIsAssignedElsewhere() {
            keys.assign(List.of());

            assertThat(waiters.removeUnservable(1, 0)).containsExactly(call);
        }
    }
}
