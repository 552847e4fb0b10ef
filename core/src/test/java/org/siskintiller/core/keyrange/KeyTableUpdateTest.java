package org.siskintiller.core.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against a receiver of changed rows whose table differs from that of the sender. */
class KeyTableUpdateTest {
    private static final int SEEDS = 300;
    private static final int ASSIGNMENTS = 40;
    private static final int HOLDERS = 5;

    @Nested
    class RandomAssignments {
        /** The receiver has the table that the rows are based on, or a later one that it got from another companion. */
        @Test
        void leadToTheTableOfTheSender() {
            for (int seed = 0; seed < SEEDS; seed++) {
                Random random = new Random(seed);
                List<KeyTable> tables = tables(random);
                KeyTable newest = tables.get(tables.size() - 1);
                int base = random.nextInt(tables.size());
                int known = base + random.nextInt(tables.size() - base);
                List<KeyGrant> changed = newest.grantsAfter(tables.get(base).lastFence());

                assertWithMessage("seed %s", seed)
                        .that(tables.get(known).updated(newest.lastFence(), changed))
                        .isEqualTo(newest);
            }
        }
    }

    @Nested
    class OneAssignment {
        @Test
        void changesOneRow() {
            KeyTable table = new KeyTable("s", 1, 0, List.of());
            for (int from = 0; from < 100; from += 10) {
                table = table.assign(new KeyRange(from, from + 9), new KeyTable.Holder("a", 1), "", 1);
            }
            long base = table.lastFence();
            KeyRange moved = new KeyRange(14, 15);
            table = table.assign(moved, new KeyTable.Holder("b", 1), "", 1);

            assertThat(table.grantsAfter(base)).containsExactly(new KeyGrant(moved, "b", 1, base + 1, ""));
        }
    }

    private static List<KeyTable> tables(Random random) {
        KeyTable table = new KeyTable("s", 1, 0, List.of());
        List<KeyTable> tables = new ArrayList<>(List.of(table));
        for (int i = 0; i < ASSIGNMENTS; i++) {
            int from = random.nextInt(KeyRange.MAX_KEY);
            int to = Math.min(KeyRange.MAX_KEY, from + random.nextInt(10_000));
            KeyTable.Holder holder = new KeyTable.Holder("h" + random.nextInt(HOLDERS), 1);
            table = table.withNextFence(table.lastFence() + random.nextInt(3))
                    .assign(new KeyRange(from, to), holder, "", 1);
            tables.add(table);
        }
        return tables;
    }
}
