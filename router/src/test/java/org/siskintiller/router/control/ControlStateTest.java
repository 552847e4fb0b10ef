package org.siskintiller.router.control;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.router.store.StoredRecord;
import org.siskintiller.wire.companion.CompanionProto;

import static com.google.common.truth.Truth.assertThat;

/** Records of the control topic that another writer left. Each is skipped, and the members before and after it hold. */
class ControlStateTest {
    private final ControlState state = new ControlState();
    private long offset;

    @Nested
    class OddMember {
        /** Guards against a port that no socket accepts. */
        @Test
        void withAPortOutOfRange() {
            applyBetweenValidMembers("member/odd", member("odd", "10.0.0.9", 70_000));
        }

        /** Guards against a negative number, which a large unsigned one becomes. */
        @Test
        void withANegativePort() {
            applyBetweenValidMembers("member/odd", member("odd", "10.0.0.9", -1));
        }

        /** Guards against the look-up of a host name, which would block the event loop. */
        @Test
        void withAHostName() {
            applyBetweenValidMembers("member/odd", member("odd", "machine.example", 7_600));
        }

        /** Guards against a member that takes the place of another one. */
        @Test
        void withTheNameOfAnotherMember() {
            applyBetweenValidMembers("member/odd", member("a", "10.0.0.9", 7_600));
        }

        /** Guards against bytes that are no message. */
        @Test
        void withBytesThatCannotBeRead() {
            applyBetweenValidMembers("member/odd", "{\"address\":[[[[".getBytes(StandardCharsets.UTF_8));
        }
    }

    @Nested
    class OddKeyTable {
        /** Guards against a key outside the range of keys. */
        @Test
        void withAKeyOutOfRange() {
            applyBetweenValidMembers("keys/s", table("s", 0, 70_000));
        }

        /** Guards against a table that replaces the one of another service. */
        @Test
        void withTheNameOfAnotherService() {
            applyBetweenValidMembers("keys/s", table("t", 0, 65_535));
            assertThat(state.table("t")).isEmpty();
        }
    }

    /** The address of a lost machine was given to another one. */
    @Nested
    class ReusedAddress {
        /** Guards against requests that are sent to an address under the name of the machine that had it before. */
        @Test
        void belongsToTheMemberWithTheNewestRecord() {
            apply("lost", "10.0.0.1", 1);
            apply("added", "10.0.0.1", 2);

            assertThat(state.members().keySet()).containsExactly("added");
        }

        /** Guards against an order of arrival that decides: other companions pass records on. */
        @Test
        void staysWithItWhenTheOlderRecordArrivesLater() {
            apply("added", "10.0.0.1", 2);
            apply("lost", "10.0.0.1", 1);

            assertThat(state.members().keySet()).containsExactly("added");
        }

        /** Guards against a machine that stays out of reach after it got an address of its own. */
        @Test
        void letsAMemberBackThatRegistersElsewhere() {
            apply("moved", "10.0.0.1", 1);
            apply("added", "10.0.0.1", 2);
            apply("moved", "10.0.0.2", 3);

            assertThat(state.members().keySet()).containsExactly("added", "moved");
        }

        private void apply(String instance, String host, long at) {
            state.apply(new StoredRecord("member/" + instance, member(instance, host, 7_600), at, 0));
        }
    }

    /** The store was restored from an older copy and assigns offsets again. */
    @Nested
    class RestoredStore {
        /** Guards against records of the new era that are ignored because their offsets are lower. */
        @Test
        void ordersRecordsByEraFirst() {
            state.apply(new StoredRecord("member/a", member("a", "10.0.0.1", 1), 9, 0));
            assertThat(state.apply(new StoredRecord("member/a", member("a", "10.0.0.2", 1), 3, 1)))
                    .isTrue();
            assertThat(state.apply(new StoredRecord("member/a", member("a", "10.0.0.3", 1), 10, 0)))
                    .isFalse();

            assertThat(state.members().get("a").address().host()).isEqualTo("10.0.0.2");
            assertThat(state.end()).isEqualTo(4);
        }

        /** Guards against a table that comes back while holders serve by a newer one, and against one that is lost. */
        @Test
        void keepsTheTableWithTheHighestFence() {
            state.apply(new StoredRecord("keys/s", table("s", 2, 0, 9), 9, 0));
            state.apply(new StoredRecord("keys/s", table("s", 1, 0, 65_535), 3, 1));

            assertThat(state.table("s").orElseThrow().lastFence()).isEqualTo(2);
            assertThat(state.lostTables()).hasSize(1);
            assertThat(state.established()).isFalse();
            assertThat(state.record("keys/s").orElseThrow().offset()).isEqualTo(9);
        }

        /** Guards against an own record that is not written again because the store had it in the earlier era. */
        @Test
        void hasNoRecordOfAnEarlierEra() {
            state.apply(new StoredRecord("member/a", member("a", "10.0.0.1", 1), 9, 0));
            state.raiseEra(1);

            assertThat(state.storedRecord("member/a")).isEmpty();
            assertThat(state.members()).containsKey("a");
        }

        /** Guards against an acknowledged leave that is forgotten because an older record replaces it. */
        @Test
        void keepsLeavesThatAnOlderRecordLacks() {
            BackendLeaves leaves = BackendLeaves.NONE.with("server", 7);
            state.apply(new StoredRecord("leave/a", ControlRecords.encode("a", BackendLeaves.NONE), 3, 1));
            state.apply(new StoredRecord("leave/a", ControlRecords.encode("a", leaves), 9, 0));

            assertThat(state.leaves("a")).isEqualTo(leaves);
            assertThat(state.lostLeaves()).containsKey("a");
        }
    }

    private void applyBetweenValidMembers(String key, byte[] value) {
        assertThat(apply("member/a", member("a", "10.0.0.1", 7_600))).isTrue();

        assertThat(apply(key, value)).isFalse();
        assertThat(apply("member/b", member("b", "10.0.0.2", 7_600))).isTrue();

        assertThat(state.members().keySet()).containsExactly("a", "b");
        assertThat(state.members().get("a").address()).isEqualTo(new Address("10.0.0.1", 7_600));
        assertThat(state.end()).isEqualTo(3);
    }

    private boolean apply(String key, byte[] value) {
        return state.apply(new StoredRecord(key, value, offset++));
    }

    private static byte[] member(String instance, String host, int port) {
        return CompanionProto.MemberRecord.newBuilder()
                .setInstance(instance)
                .setHost(host)
                .setPort(port)
                .setFailureDomain("zone")
                .setService("service")
                .build()
                .toByteArray();
    }

    private static byte[] table(String service, int from, int to) {
        return table(service, 1, from, to);
    }

    private static byte[] table(String service, long fence, int from, int to) {
        return CompanionProto.KeyTableRecord.newBuilder()
                .setService(service)
                .setTerm(1)
                .setLastFence(fence)
                .addRows(CompanionProto.KeyRow.newBuilder()
                        .setFrom(from)
                        .setTo(to)
                        .setHolder("a")
                        .setRun(1)
                        .setFence(fence))
                .build()
                .toByteArray();
    }
}
