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

    /** Time at which the process started, long enough ago that nothing of an earlier one is in force. */
    private static final long STARTED_NS = -60_000 * MS;

    private KeyHolder holder = new KeyHolder(10_000, STARTED_NS);
    private long sequence;

    @Nested
    class Granting {
        /** Guards against keys that a backend server holds longer than its companion has the lease. */
        @Test
        void endsTheHoldBeforeTheLease() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);

            HeartbeatResponse answer = beat(RUN, 1_000 * MS);

            assertThat(answer.grants()).containsExactly(GRANT);
            assertThat(1_000 + answer.holdMs() * 1.02).isLessThan(3_500.0);
        }

        /** Guards against a grant by a companion that has lost its lease. */
        @Test
        void grantsNothingWithoutLease() {
            holder.assign(List.of(GRANT));

            assertThat(beat(RUN, 1_000 * MS)).isEqualTo(HeartbeatResponse.RENEWS_NOTHING);
            assertThat(holder.serves(1, 1_000 * MS)).isFalse();
        }

        /** Guards against a late heartbeat of an earlier run that moves the clock of the grants. */
        @Test
        void ignoresEarlierRuns() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);

            assertThat(beat(RUN - 1, 100 * MS)).isEqualTo(HeartbeatResponse.RENEWS_NOTHING);
        }

        /** Guards against keys that stay unserved until the next heartbeat when the time of day is set. */
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

        /** Guards against requests that are sent after a hold that began with the heartbeat, not with its answer. */
        @Test
        void countsADeferredAnswerFromTheHeartbeat() {
            holder.renewed(0, 3_500);
            assertThat(beat(RUN, 0).grants()).isEmpty();
            holder.assign(List.of(GRANT));

            HeartbeatResponse answer = holder.respond(400 * MS);

            assertThat(answer.grants()).containsExactly(GRANT);
            assertThat(holder.serves(1, answer.holdMs() * MS)).isFalse();
            assertThat(holder.serves(1, (answer.holdMs() - 100) * MS)).isTrue();
        }

        /** Guards against a request that is sent when the backend server may hold the key no more. */
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
    class HoldingAnswers {
        private static final long LASTS_NS = 1_500 * MS;

        /** Guards against a grant that reaches the backend server only after the delay of a held answer. */
        @Test
        void tellsANewGrantAtOnce() {
            holder.renewed(0, 3_500);
            holder.accept(new BackendHeartbeat(RUN, ++sequence, List.of(), List.of()), 0);
            assertThat(holder.mayDeferResponse(LASTS_NS, 0)).isTrue();

            holder.assign(List.of(GRANT));

            assertThat(holder.mayDeferResponse(LASTS_NS, 0)).isFalse();
        }

        /** Guards against a release that waits although the backend server could learn of it. */
        @Test
        void tellsAReleaseAtOnceAndCompletesItWithTheNextHeartbeat() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);
            holder.accept(new BackendHeartbeat(RUN, ++sequence, List.of(RANGE), List.of()), 100 * MS);
            assertThat(holder.mayDeferResponse(LASTS_NS, 100 * MS)).isTrue();

            holder.release(List.of(RANGE));
            assertThat(holder.mayDeferResponse(LASTS_NS, 200 * MS)).isFalse();
            assertThat(holder.respond(200 * MS).grants()).isEmpty();

            holder.processHeartbeat(new BackendHeartbeat(RUN, ++sequence, List.of(), List.of()), 300 * MS);
            assertThat(holder.released()).containsExactly(new HolderReport.Released(RANGE, 5, ""));
        }

        /** Guards against a hold that ends while its renewal is held back. */
        @Test
        void renewsAHoldThatEndsSoon() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);
            holder.accept(new BackendHeartbeat(RUN, ++sequence, List.of(RANGE), List.of()), 2_500 * MS);

            assertThat(holder.mayDeferResponse(LASTS_NS, 2_500 * MS)).isFalse();
        }
    }

    @Nested
    class Releasing {
        /** Guards against a range that is given away while its backend server still works on it. */
        @Test
        void reportsARangeOnlyWhenTheBackendServerHoldsItNoMore() {
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

        /** Guards against keys of a silent backend server that are given away while it may still hold them. */
        @Test
        void waitsForTheEndOfTheHoldOfASilentBackendServer() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            HeartbeatResponse answer = beat(RUN, 0);
            long overMs = Math.round(answer.holdMs() * 1.02);

            holder.tick(overMs * MS);
            assertThat(holder.released()).isEmpty();

            holder.tick((overMs + 100) * MS);
            assertThat(holder.released()).containsExactly(new HolderReport.Released(RANGE, 5, ""));
        }

        /** Guards against a restarted backend server that is told to hold keys under its old fence. */
        @Test
        void releasesTheKeysOfAnEarlierRun() {
            holder.assign(List.of(GRANT));
            holder.renewed(0, 3_500);
            beat(RUN, 0);

            HeartbeatResponse answer = beat(RUN + 1, 500 * MS);

            assertThat(answer.grants()).isEmpty();
            assertThat(holder.released()).containsExactly(new HolderReport.Released(RANGE, 5, ""));
        }

        /** Guards against a new process that gives keys away which the old one granted just before its end. */
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
