package org.siskintiller.router.control;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;
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
        return CompanionProto.KeyTableRecord.newBuilder()
                .setService(service)
                .setTerm(1)
                .setLastFence(1)
                .addRows(CompanionProto.KeyRow.newBuilder()
                        .setFrom(from)
                        .setTo(to)
                        .setHolder("a")
                        .setRun(1)
                        .setFence(1))
                .build()
                .toByteArray();
    }
}
