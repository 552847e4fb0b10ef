package org.siskintiller.core.lease;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.keyrange.KeyLoad;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.keyrange.KeyTable;

import static com.google.common.truth.Truth.assertThat;

class AuthorityTest {
    private static final long MS = 1_000_000;
    private static final String SERVICE = "service";

    private Authority authority = new Authority(1, true, 0);

    @Nested
    class Placing {
        /** Guards against a first table without the instances that start some hundred ms later than the first one. */
        @Test
        void waitsForAllInstances() {
            renew("a", KeyTable.empty(SERVICE), 0);
            assertThat(authority.plan(KeyTable.empty(SERVICE), 2, 100 * MS)).isEmpty();

            renew("b", KeyTable.empty(SERVICE), 200 * MS);
            authority.plan(KeyTable.empty(SERVICE), 2, 200 * MS);
            KeyTable table =
                    authority.plan(KeyTable.empty(SERVICE), 2, 1_700 * MS).orElseThrow();

            assertThat(table.keysHeldBy("a")).isGreaterThan(0);
            assertThat(table.keysHeldBy("b")).isGreaterThan(0);
        }

        /**
         * Guards against a first table for only the few instances on large machines, which register before the others:
         * with 53 holders one of them got half of all keys.
         */
        @Test
        void waitsUntilNoInstanceIsAdded() {
            renew("a", KeyTable.empty(SERVICE), 0);
            assertThat(authority.plan(KeyTable.empty(SERVICE), 1, 0)).isEmpty();
            assertThat(authority.plan(KeyTable.empty(SERVICE), 1, 1_000 * MS)).isEmpty();

            renew("b", KeyTable.empty(SERVICE), 1_200 * MS);
            assertThat(authority.plan(KeyTable.empty(SERVICE), 2, 1_600 * MS)).isEmpty();
            assertThat(authority.plan(KeyTable.empty(SERVICE), 2, 3_200 * MS)).isPresent();
        }

        /** Guards against a second proposal while the first may still take effect. */
        @Test
        void waitsUntilAProposalIsSettled() {
            KeyTable unassigned =
                    KeyTable.empty(SERVICE).assign(new KeyRange(0, 99), new KeyTable.Holder("a", 1), "", 1);
            renew("a", unassigned, 0);
            assertThat(authority.plan(unassigned, 1, 0)).isPresent();

            assertThat(authority.plan(unassigned, 1, 100 * MS)).isEmpty();

            authority.proposalSettled(SERVICE);
            assertThat(authority.plan(unassigned, 1, 200 * MS)).isPresent();
        }
    }

    @Nested
    class TakingKeys {
        private final KeyTable table = KeyTable.empty(SERVICE).assign(KeyRange.ALL, new KeyTable.Holder("a", 1), "", 1);

        /** Guards against two holders of a key: the lease of the first must have expired on its own clock. */
        @Test
        void takesThemOnlyAfterTheLeaseExpired() {
            renew("a", table, 0);
            renew("b", table, 3_400 * MS);
            assertThat(authority.plan(table, 2, 3_500 * MS)).isEmpty();

            renew("b", table, 3_600 * MS);
            KeyTable next = authority.plan(table, 2, 3_600 * MS).orElseThrow();

            assertThat(next.keysHeldBy("a")).isEqualTo(0);
            assertThat(next.grantOf(7).orElseThrow().fence()).isGreaterThan(table.lastFence());
        }

        /** Guards against a lease that is renewed while a proposed table assigns its keys to another holder. */
        @Test
        void renewsNothingForAHolderThatLosesItsKeys() {
            renew("a", table, 0);
            renew("b", table, 3_600 * MS);
            authority.plan(table, 2, 3_600 * MS).orElseThrow();

            assertThat(renew("a", table, 3_700 * MS)).isEmpty();
        }

        /** Guards against a restarted companion that grants ranges again that its earlier process released. */
        @Test
        void renewsNothingForARestartedHolderThatReleasedKeys() {
            HolderReport.Released released = new HolderReport.Released(new KeyRange(0, 99), table.lastFence(), "token");
            HolderReport report =
                    new HolderReport("a", SERVICE, 1, true, 50, table.lastFence(), List.of(released), KeyLoad.NONE);
            authority.renew(report, table, 0);
            renew("b", table, 0);
            authority.plan(table, 2, 0).orElseThrow();

            assertThat(renew("a", table, 100 * MS)).isEmpty();
        }

        /** Guards against a holder that grants ranges of a table that is no longer in force. */
        @Test
        void renewsNothingForAHolderWithAnOutdatedTable() {
            HolderReport outdated = new HolderReport("a", SERVICE, 1, true, 50, 0, List.of(), KeyLoad.NONE);

            assertThat(authority.renew(outdated, table, 0)).isEmpty();
        }

        /** Guards against keys that are taken from holders whose leases a deposed authority may still renew. */
        @Test
        void waitsForThePreviousAuthority() {
            authority = new Authority(2, false, 0);
            renew("b", table, 10_000 * MS);
            assertThat(authority.plan(table, 2, 10_000 * MS)).isEmpty();

            renew("b", table, 15_700 * MS);
            assertThat(authority.plan(table, 2, 15_700 * MS)).isPresent();
        }

        /** Guards against the long wait for unknown holders after the previous authority has resigned. */
        @Test
        void waitsOneLeaseAfterThePreviousAuthorityResigned() {
            authority = new Authority(2, false, 0);
            authority.predecessorResigned(1_000 * MS);
            renew("b", table, 4_700 * MS);

            assertThat(authority.plan(table, 2, 4_700 * MS)).isPresent();
        }

        /** Guards against a handover token that is lost on the way to the next holder. */
        @Test
        void passesTheHandoverOn() {
            HolderReport.Released released = new HolderReport.Released(new KeyRange(0, 99), table.lastFence(), "token");
            HolderReport report =
                    new HolderReport("a", SERVICE, 1, false, 50, table.lastFence(), List.of(released), KeyLoad.NONE);
            authority.renew(report, table, 0);
            renew("b", table, 0);

            KeyTable next = authority.plan(table, 2, 0).orElseThrow();

            assertThat(next.grantOf(50).orElseThrow().holder()).isEqualTo("b");
            assertThat(next.grantOf(50).orElseThrow().handover()).isEqualTo("token");
            assertThat(next.grantOf(100).orElseThrow().holder()).isEqualTo("a");
        }
    }

    private Optional<List<KeyRange>> renew(String instance, KeyTable known, long nowNs) {
        return authority.renew(
                new HolderReport(instance, SERVICE, 1, true, 50, known.lastFence(), List.of(), KeyLoad.NONE),
                known,
                nowNs);
    }
}
