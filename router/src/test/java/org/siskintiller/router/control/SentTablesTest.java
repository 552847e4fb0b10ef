package org.siskintiller.router.control;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against changed rows for a companion that does not have the table they are based on. */
class SentTablesTest {
    private static final long CONNECTION = 3;

    private final SentTables tables = new SentTables();

    @Nested
    class Connection {
        @Test
        void hasTheLastTableOfEachService() {
            tables.sent("a", CONNECTION, "s", 10);
            tables.sent("a", CONNECTION, "t", 20);
            tables.sent("a", CONNECTION, "s", 12);

            assertThat(tables.fence("a", CONNECTION, "s")).isEqualTo(12);
            assertThat(tables.fence("a", CONNECTION, "t")).isEqualTo(20);
            assertThat(tables.fence("b", CONNECTION, "s")).isEqualTo(0);
        }

        /** The process at its end may be another one, and frames may be lost with the connection before. */
        @Test
        void hasNothingOfTheOneBefore() {
            tables.sent("a", CONNECTION, "s", 10);
            tables.sent("a", CONNECTION + 1, "t", 20);

            assertThat(tables.fence("a", CONNECTION + 1, "s")).isEqualTo(0);
            assertThat(tables.fence("a", CONNECTION + 2, "t")).isEqualTo(0);
        }
    }

    @Nested
    class LaggingCompanion {
        @Test
        void hasNothing() {
            tables.sent("a", CONNECTION, "s", 10);
            tables.forget("a");

            assertThat(tables.fence("a", CONNECTION, "s")).isEqualTo(0);
        }
    }
}
