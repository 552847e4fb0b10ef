package org.siskintiller.core.lease;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyRange;

import static com.google.common.truth.Truth.assertThat;

class KeyOrdersTest {
    private static final long MS = 1_000_000;
    private static final long RUN = 1_000;
    private static final KeyRange RANGE = new KeyRange(0, 999);
    private static final KeyRange PART = new KeyRange(0, 99);
    private static final KeyGrant GRANT = new KeyGrant(RANGE, "self", RUN, 5, "token");
    private static final KeyOrder.Grant ORDER = new KeyOrder.Grant(RANGE, 5, "token");
    private static final KeyOrder.Release RELEASE = new KeyOrder.Release(PART, 5);
    /** Start time of the process, so early that no grant of an earlier process is still in force. */
    private static final long STARTED_NS = -60_000 * MS;

    private final KeyHolder holder = new KeyHolder(10_000, STARTED_NS);
    private final KeyOrders orders = new KeyOrders(holder, STARTED_NS);

    @BeforeEach
    void assign() {
        holder.accept(new BackendHeartbeat(RUN, 1, List.of(), List.of()), 0);
        holder.assign(List.of(GRANT));
        holder.renewed(0, 3_500);
    }

    @Nested
    class Granting {
        /** Guards against requests for a key that the backend server may not hold. */
        @Test
        void servesFromTheConfirmationUntilTheEarliestEndOfTheHold() {
            assertThat(orders.due(0)).containsExactly(ORDER);
            long holdMs = orders.beginGrant(ORDER, 0);
            assertThat(holdMs * 1.02).isLessThan(3_500.0);
            assertThat(holder.serves(1, MS)).isFalse();

            orders.confirmed(ORDER, "", 5 * MS);

            assertThat(holder.serves(1, 5 * MS)).isTrue();
            assertThat(holder.serves(1, holdMs * MS)).isFalse();
        }

        /** Guards against a grant whose hold time counts from its arrival and ends after the lease. */
        @Test
        void shortensTheHoldOfALateGrant() {
            orders.due(0);

            assertThat(2_000 + orders.beginGrant(ORDER, 2_000 * MS) * 1.02).isLessThan(3_500.0);
        }

        /** Guards against orders to a backend server that may have ended. */
        @Test
        void sendsNothingToASilentServer() {
            holder.renewed(2_500 * MS, 3_500);

            assertThat(orders.due(2_500 * MS)).isEmpty();
        }

        /** Guards against a second copy of an order that is on its way, and against a grant that is never renewed. */
        @Test
        void renewsAfterTheResponse() {
            orders.due(0);
            orders.beginGrant(ORDER, 0);
            assertThat(orders.due(100 * MS)).isEmpty();
            orders.confirmed(ORDER, "", 100 * MS);

            assertThat(orders.due(500 * MS)).isEmpty();
            assertThat(orders.due(1_200 * MS)).containsExactly(ORDER);
        }

        /** Guards against requests for a key whose grant was refused. The clock may have any value, also below 0. */
        @Test
        void servesNothingAfterARefusal() {
            holder.accept(new BackendHeartbeat(RUN, 2, List.of(), List.of()), -1_000 * MS);
            holder.renewed(-1_000 * MS, 3_500);
            orders.due(-1_000 * MS);
            orders.beginGrant(ORDER, -1_000 * MS);

            orders.refused(ORDER, -990 * MS);

            assertThat(holder.serves(1, -980 * MS)).isFalse();
            assertThat(orders.due(-980 * MS)).isEmpty();
            assertThat(orders.due(-400 * MS)).containsExactly(ORDER);
        }

        /** Guards against a rest of a range that is not served while a part of it moves. */
        @Test
        void servesTheRestOfAPartlyReleasedRange() {
            confirmGrant();
            holder.release(List.of(PART));

            assertThat(orders.due(20 * MS))
                    .containsExactly(RELEASE, new KeyOrder.Grant(new KeyRange(100, 999), 5, "token"));
            assertThat(holder.serves(500, 20 * MS)).isTrue();
            assertThat(holder.serves(50, 20 * MS)).isFalse();
        }
    }

    @Nested
    class Releasing {
        /** Guards against a release that waits although all grants of the range have a response. */
        @Test
        void endsWithTheConfirmation() {
            confirmGrant();
            release(20 * MS);

            orders.confirmed(RELEASE, "next", 30 * MS);

            assertThat(holder.released()).containsExactly(new HolderReport.Released(PART, 5, "next"));
        }

        /** Guards against two holders: a grant without a response may take effect after the release. */
        @Test
        void waitsForAGrantWithoutResponse() {
            orders.due(0);
            long holdMs = orders.beginGrant(ORDER, 0);
            orders.unanswered(ORDER, 400 * MS);
            release(500 * MS);
            orders.confirmed(RELEASE, "next", 510 * MS);
            assertThat(holder.released()).isEmpty();
            orders.due(holdMs * MS);
            assertThat(holder.released()).isEmpty();

            orders.due(Math.round(holdMs * MS * 1.02) + 100 * MS);

            assertThat(holder.released()).containsExactly(new HolderReport.Released(PART, 5, "next"));
        }

        /** Guards against a release that overtakes a grant on another connection. */
        @Test
        void isNotSentWhileAGrantIsOnItsWay() {
            orders.due(0);
            orders.beginGrant(ORDER, 0);
            holder.release(List.of(PART));

            assertThat(orders.due(10 * MS)).doesNotContain(RELEASE);
            orders.confirmed(ORDER, "", 20 * MS);
            assertThat(orders.due(20 * MS)).contains(RELEASE);
        }

        /** Guards against keys that never move because the backend server does not respond to a release. */
        @Test
        void endsWithTheHoldWithoutAConfirmation() {
            confirmGrant();
            release(20 * MS);
            orders.unanswered(RELEASE, 1_020 * MS);

            orders.due(3_600 * MS);

            assertThat(holder.released()).containsExactly(new HolderReport.Released(PART, 5, ""));
        }

        /** Guards against a new process that does not know of a grant without a response to an earlier one. */
        @Test
        void waitsForGrantsOfAnEarlierProcess() {
            KeyHolder restartedHolder = new KeyHolder(10_000, 0);
            KeyOrders restarted = new KeyOrders(restartedHolder, 0);
            restartedHolder.accept(new BackendHeartbeat(RUN, 1, List.of(), List.of()), 0);
            restartedHolder.assign(List.of(GRANT));
            restartedHolder.release(List.of(PART));
            assertThat(restarted.due(0)).contains(RELEASE);
            restarted.confirmed(RELEASE, "next", MS);
            assertThat(restartedHolder.released()).isEmpty();

            restarted.due(3_600 * MS);

            assertThat(restartedHolder.released()).containsExactly(new HolderReport.Released(PART, 5, "next"));
        }
    }

    private void confirmGrant() {
        orders.due(0);
        orders.beginGrant(ORDER, 0);
        orders.confirmed(ORDER, "", 5 * MS);
    }

    private void release(long nowNs) {
        holder.release(List.of(PART));
        assertThat(orders.due(nowNs)).contains(RELEASE);
        assertThat(orders.beginRelease(RELEASE)).isTrue();
    }
}
