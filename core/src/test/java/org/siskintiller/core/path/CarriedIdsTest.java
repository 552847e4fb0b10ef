package org.siskintiller.core.path;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CarriedIdsTest {
    private static final long DEADLINE_NS = 3_000_000_000L;
    private static final long INTERVAL_NS = 10_000_000L;

    private final CarriedIds ids = new CarriedIds();

    @Nested
    class Replay {
        /** Guards against a repeat on a connection that has carried its request some requests before. */
        @Test
        void keepsAnIdWhileItsRequestMayBeSentAgain() {
            ids.add("a", DEADLINE_NS, 0);
            for (long nowNs = INTERVAL_NS; nowNs <= DEADLINE_NS; nowNs += INTERVAL_NS) {
                ids.add("other-" + nowNs, nowNs + DEADLINE_NS, nowNs);
                assertThat(ids.contains("a")).isTrue();
            }
            assertThat(ids.contains("b")).isFalse();
        }

        /** Guards against memory that grows for as long as a connection is kept. */
        @Test
        void remembersTheLastSecondsOnly() {
            int perDeadline = (int) (DEADLINE_NS / INTERVAL_NS);
            for (int i = 0; i < 100 * perDeadline; i++) {
                ids.add("id-" + i, i * INTERVAL_NS + DEADLINE_NS, i * INTERVAL_NS);
                assertThat(ids.size()).isAtMost(perDeadline + 1);
            }
        }
    }
}
