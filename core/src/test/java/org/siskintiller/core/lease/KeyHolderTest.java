package org.siskintiller.core.lease;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyRange;

import static com.google.common.truth.Truth.assertThat;

class KeyHolderTest {
    private static final long MS = 1_000_000;
    private static final long RUN = 1_000;
    private static final KeyRange RANGE = new KeyRange(0, 999);
    private static final KeyGrant GRANT = new KeyGrant(RANGE, "self", RUN, 5, "");

    /** Start time of the process, so early that no grant of an earlier process is still in force. */
    private static final long STARTED_NS = -60_000 * MS;

    private KeyHolder holder = new KeyHolder(10_000, STARTED_NS);
    private long sequence;

    @Nested
    class Granting {
        /** Guards against a backend server that holds keys after the lease of its companion has expired. */
        @Test
        void endsTheHoldBeforeTheLease() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);

            HeartbeatResponse response = beat(RUN, 1_000 * MS);

            assertThat(response.grants()).containsExactly(GRANT);
            assertThat(1_000 + response.holdMs() * 1.02).isLessThan(3_500.0);
        }

        /** Guards against a grant by a companion that has lost its lease. */
        @Test
        void grantsNothingWithoutLease() {
            holder.assign(List.of(GRANT));

            assertThat(beat(RUN, 1_000 * MS)).isEqualTo(HeartbeatResponse.RENEWS_NOTHING);
            assertThat(holder.serves(1, 1_000 * MS)).isFalse();
        }

        /** Guards against a delayed heartbeat of an earlier run that extends the grants. */
        @Test
        void ignoresEarlierRuns() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);

            assertThat(beat(RUN - 1, 100 * MS)).isEqualTo(HeartbeatResponse.RENEWS_NOTHING);
        }

        /** Guards against keys that stay unserved until the next heartbeat after the time of day is set. */
        @Test
        void servesAgainAsSoonAsADroppedLeaseIsRenewed() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);

            holder.dropLease(100 * MS);
            assertThat(holder.serves(1, 100 * MS)).isFalse();

            holder.renewed(110 * MS, 3_500);
            assertThat(holder.serves(1, 120 * MS)).isTrue();
        }

        /** Guards against requests after the end of a hold, which begins with the heartbeat, not with its response. */
        @Test
        void countsTheHoldOfADeferredResponseFromTheHeartbeat() {
            holder.renewed(0, 3_500);
            assertThat(beat(RUN, 0).grants()).isEmpty();
            holder.assign(List.of(GRANT));

            HeartbeatResponse response = holder.respond(400 * MS);

            assertThat(response.grants()).containsExactly(GRANT);
            assertThat(holder.serves(1, response.holdMs() * MS)).isFalse();
            assertThat(holder.serves(1, (response.holdMs() - 100) * MS)).isTrue();
        }

        /** Guards against a request that is sent when the backend server may no longer hold the key. */
        @Test
        void servesOnlyWhileTheHoldLasts() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);

            assertThat(holder.serves(1, 3_000 * MS)).isTrue();
            assertThat(holder.serves(1, 3_450 * MS)).isFalse();
            assertThat(holder.serves(1_000, 0)).isFalse();
        }
    }

    @Nested
    class DeferringResponses {
        private static final long MIN_REMAINING_HOLD_NS = 1_500 * MS;

        /** Guards against a grant that reaches the backend server only after the delay of a deferred response. */
        @Test
        void sendsANewGrantAtOnce() {
            holder.renewed(0, 3_500);
            holder.accept(new BackendHeartbeat(RUN, ++sequence, List.of(), List.of()), 0);
            assertThat(holder.mayDeferResponse(MIN_REMAINING_HOLD_NS, 0)).isTrue();

            holder.assign(List.of(GRANT));

            assertThat(holder.mayDeferResponse(MIN_REMAINING_HOLD_NS, 0)).isFalse();
        }

        /** Guards against a release that waits although the response to a heartbeat could carry it. */
        @Test
        void sendsAReleaseAtOnceAndCompletesItWithTheNextHeartbeat() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);
            holder.accept(new BackendHeartbeat(RUN, ++sequence, List.of(RANGE), List.of()), 100 * MS);
            assertThat(holder.mayDeferResponse(MIN_REMAINING_HOLD_NS, 100 * MS)).isTrue();

            holder.release(List.of(RANGE));
            assertThat(holder.mayDeferResponse(MIN_REMAINING_HOLD_NS, 200 * MS)).isFalse();
            assertThat(holder.respond(200 * MS).grants()).isEmpty();

            holder.processHeartbeat(new BackendHeartbeat(RUN, ++sequence, List.of(), List.of()), 300 * MS);
            assertThat(holder.released()).containsExactly(new HolderReport.Released(RANGE, 5, ""));
        }

        /** Guards against a hold that ends while the response that renews it is deferred. */
        @Test
        void renewsAHoldThatEndsSoon() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);
            holder.accept(new BackendHeartbeat(RUN, ++sequence, List.of(RANGE), List.of()), 2_500 * MS);

            assertThat(holder.mayDeferResponse(MIN_REMAINING_HOLD_NS, 2_500 * MS))
                    .isFalse();
        }
    }

    @Nested
    class Releasing {
        /** Guards against a range that is released while its backend server still processes requests for it. */
        @Test
        void reportsARangeOnlyWhenTheBackendServerNoLongerHoldsIt() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);
            KeyRange part = new KeyRange(100, 199);
            holder.release(List.of(part));

            HeartbeatResponse without =
                    holder.processHeartbeat(new BackendHeartbeat(RUN, ++sequence, List.of(RANGE), List.of()), 100 * MS);
            assertThat(without.grants().stream()
                            .noneMatch(grant -> grant.range().overlaps(part)))
                    .isTrue();
            assertThat(holder.released()).isEmpty();
            assertThat(holder.serves(150, 150 * MS)).isFalse();

            holder.processHeartbeat(new BackendHeartbeat(RUN, ++sequence, List.of(part), List.of()), 200 * MS);
            assertThat(holder.released()).isEmpty();

            BackendHeartbeat.Handover token = new BackendHeartbeat.Handover(part, "token");
            holder.processHeartbeat(new BackendHeartbeat(RUN, ++sequence, List.of(), List.of(token)), 300 * MS);
            assertThat(holder.released()).containsExactly(new HolderReport.Released(part, 5, "token"));
        }

        /** Guards against a heartbeat without lists that is taken for a report that nothing is held. */
        @Test
        void completesNoReleaseWithoutAReportOfHeldRanges() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);
            holder.release(List.of(RANGE));
            beat(RUN, 100 * MS);
            assertThat(holder.released()).isEmpty();

            holder.processHeartbeat(new BackendHeartbeat(RUN, ++sequence, false, List.of(), List.of()), 200 * MS);
            assertThat(holder.released()).isEmpty();

            beat(RUN, 300 * MS);
            assertThat(holder.released()).hasSize(1);
        }

        /** Guards against keys that are released while a backend server without heartbeats may still hold them. */
        @Test
        void waitsForTheEndOfTheHoldOfAnUnresponsiveBackendServer() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            HeartbeatResponse response = beat(RUN, 0);
            long holdEndMs = Math.round(response.holdMs() * 1.02);

            holder.tick(holdEndMs * MS);
            assertThat(holder.released()).isEmpty();

            holder.tick((holdEndMs + 100) * MS);
            assertThat(holder.released()).containsExactly(new HolderReport.Released(RANGE, 5, ""));
        }

        /** Guards against a restarted backend server that is granted keys under its old fence. */
        @Test
        void releasesTheKeysOfAnEarlierRun() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);

            HeartbeatResponse response = beat(RUN + 1, 500 * MS);

            assertThat(response.grants()).isEmpty();
            assertThat(holder.released()).containsExactly(new HolderReport.Released(RANGE, 5, ""));
        }

        /** Guards against a new process that releases keys which the earlier one granted just before its end. */
        @Test
        void keepsGrantsOfAnEarlierProcessForOneLease() {
            holder = new KeyHolder(10_000, 0);
            holder.assign(List.of(GRANT));

            holder.tick(3_400 * MS);
            assertThat(holder.released()).isEmpty();

            holder.tick(3_700 * MS);
            assertThat(holder.released()).hasSize(1);
        }
    }

    private HeartbeatResponse beat(long run, long nowNs) {
        return holder.processHeartbeat(new BackendHeartbeat(run, ++sequence, List.of(), List.of()), nowNs);
    }
}
