package org.siskintiller.core.keyrange;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class KeyTableTest {
    private static final KeyTable.Holder FIRST = new KeyTable.Holder("first", 10);
    private static final KeyTable.Holder SECOND = new KeyTable.Holder("second", 20);

    @Nested
    class Assigning {
        /** Guards against a move that loses the keys beside the moved range. */
        @Test
        void cutsTheRangeOutOfAnotherGrant() {
            KeyTable table = KeyTable.empty("service")
                    .assign(KeyRange.ALL, FIRST, "", 1)
                    .assign(new KeyRange(100, 199), SECOND, "token", 1);

            assertThat(table.grantOf(99).orElseThrow().holder()).isEqualTo("first");
            assertThat(table.grantOf(100).orElseThrow().holder()).isEqualTo("second");
            assertThat(table.grantOf(100).orElseThrow().handover()).isEqualTo("token");
            assertThat(table.grantOf(200).orElseThrow().holder()).isEqualTo("first");
            assertThat(table.unassigned()).isEmpty();
        }

        /** Guards against a new holder with a fence that an earlier holder already had. */
        @Test
        void raisesTheFenceEachTime() {
            KeyTable table = KeyTable.empty("service");
            long last = 0;
            for (int i = 0; i < 10; i++) {
                table = table.assign(new KeyRange(i, i + 5), i % 2 == 0 ? FIRST : SECOND, "", 1);
                assertThat(table.grantOf(i).orElseThrow().fence()).isGreaterThan(last);
                last = table.lastFence();
            }
        }

        /** Guards against keys without a holder that are not reported and so never assigned again. */
        @Test
        void reportsKeysWithoutHolder() {
            KeyTable table = KeyTable.empty("service").assign(new KeyRange(10, 19), FIRST, "", 1);

            assertThat(table.unassigned())
                    .containsExactly(new KeyRange(0, 9), new KeyRange(20, KeyRange.MAX_KEY))
                    .inOrder();
        }
    }

    @Nested
    class Validating {
        /** Guards against a table in which a key has two holders. */
        @Test
        void rejectsOverlappingGrants() {
            KeyGrant low = new KeyGrant(new KeyRange(0, 10), "first", 10, 1, "");
            KeyGrant high = new KeyGrant(new KeyRange(10, 20), "second", 20, 2, "");

            assertThrows(IllegalArgumentException.class, () -> new KeyTable("service", 1, 2, List.of(low, high)));
        }

        /** Guards against a fence that would be assigned twice. */
        @Test
        void rejectsAFenceAboveTheLast() {
            KeyGrant grant = new KeyGrant(KeyRange.ALL, "first", 10, 3, "");

            assertThrows(IllegalArgumentException.class, () -> new KeyTable("service", 1, 2, List.of(grant)));
        }
    }
}
