package org.siskintiller.core.keyrange;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class KeyPlannerTest {
    private static final int CAPACITY = 50;

    private final KeyPlanner planner = new KeyPlanner();
    private final KeyRates rates = new KeyRates();

    @Nested
    class Placing {
        /** Guards against holders without keys in the first table. */
        @Test
        void givesEachHolderItsShare() {
            List<HolderLoad> holders = holders(6);

            KeyTable table = place(KeyTable.empty("service"), holders);

            for (HolderLoad holder : holders) {
                double share = table.keysHeldBy(holder.holder().instance()) / 65_536.0;
                assertThat(share).isWithin(0.01).of(1 / 6.0);
            }
        }

        /** Guards against a large service whose keys all go to one holder. */
        @Test
        void givesEachOfManyHoldersItsShare() {
            KeyTable table = place(KeyTable.empty("service"), holders(53));

            for (HolderLoad holder : holders(53)) {
                double share = table.keysHeldBy(holder.holder().instance()) / 65_536.0;
                assertThat(share).isWithin(0.005).of(1 / 53.0);
            }
        }

        /** Guards against keys of a lost holder that all go to one other holder. */
        @Test
        void spreadsALargeRange() {
            KeyTable table = place(KeyTable.empty("service"), holders(6));
            List<HolderLoad> remaining = holders(6).subList(0, 5);
            List<KeyPlanner.FreeRange> free = new ArrayList<>();
            for (KeyGrant grant : table.heldBy("holder-5")) {
                free.add(new KeyPlanner.FreeRange(grant.range(), "", ""));
            }

            KeyTable next = planner.place(table, free, remaining, rates, 2);

            int largest = remaining.stream()
                    .mapToInt(holder -> next.keysHeldBy(holder.holder().instance()))
                    .max()
                    .orElseThrow();
            assertThat(largest).isAtMost((int) (1.1 * 65_536 / 5));
            assertThat(next.keysHeldBy("holder-5")).isEqualTo(0);
        }
    }

    private KeyTable place(KeyTable table, List<HolderLoad> holders) {
        List<KeyPlanner.FreeRange> free = new ArrayList<>();
        for (KeyRange range : table.unassigned()) {
            free.add(new KeyPlanner.FreeRange(range, "", ""));
        }
        return planner.place(table, free, holders, rates, 1);
    }

    private static List<HolderLoad> holders(int count) {
        List<HolderLoad> holders = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            holders.add(new HolderLoad(new KeyTable.Holder("holder-" + i, 1), CAPACITY, 0));
        }
        return holders;
    }
}
