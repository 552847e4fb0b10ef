package org.siskintiller.core.spread;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SpreadPlanTest {
    private static final int SMALL_BYTES = 400;
    private static final int LARGE_BYTES = 45_000;

    @Nested
    class SmallContent {
        /** Guards against relays, which may fail, where the sender can serve everybody itself. */
        @Test
        void isSentToEachRecipient() {
            List<SpreadPlan.Copy> plan = SpreadPlan.of(names(22), SMALL_BYTES);

            assertThat(plan).hasSize(22);
            assertThat(plan.stream().allMatch(copy -> copy.relayTo().isEmpty())).isTrue();
        }
    }

    @Nested
    class LargeContent {
        /** Guards against a link that carries a copy for each recipient, at any size of a failure domain. */
        @Test
        void leavesEachCompanionAFewTimes() {
            for (int recipients : List.of(1, 4, 5, 22, 90, 1_300)) {
                assertThat(mostCopies(recipients, LARGE_BYTES)).isAtMost(SpreadPlan.FAN_OUT);
            }
        }

        /** Guards against a recipient that is left out or receives the content twice. */
        @Test
        void reachesEachRecipientOnce() {
            for (int recipients = 0; recipients < 200; recipients++) {
                List<String> reached = reached(names(recipients), LARGE_BYTES);

                assertThat(reached).containsExactlyElementsIn(names(recipients));
            }
        }

        /** Guards against chains of relays, each of which adds its delay. */
        @Test
        void passesFewRelays() {
            assertThat(depth(names(22), LARGE_BYTES)).isAtMost(3);
            assertThat(depth(names(1_300), LARGE_BYTES)).isAtMost(6);
        }
    }

    private static int mostCopies(int recipients, int bytes) {
        int most = 0;
        Deque<List<String>> open = new ArrayDeque<>(List.of(names(recipients)));
        while (!open.isEmpty()) {
            List<SpreadPlan.Copy> plan = SpreadPlan.of(open.poll(), bytes);
            most = Math.max(most, plan.size());
            plan.forEach(copy -> open.add(copy.relayTo()));
        }
        return most;
    }

    private static List<String> reached(List<String> recipients, int bytes) {
        List<String> reached = new ArrayList<>();
        for (SpreadPlan.Copy copy : SpreadPlan.of(recipients, bytes)) {
            reached.add(copy.receiver());
            reached.addAll(reached(copy.relayTo(), bytes));
        }
        return reached;
    }

    private static int depth(List<String> recipients, int bytes) {
        int depth = 0;
        for (SpreadPlan.Copy copy : SpreadPlan.of(recipients, bytes)) {
            depth = Math.max(depth, 1 + depth(copy.relayTo(), bytes));
        }
        return depth;
    }

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "machine-" + i).toList();
    }
}
