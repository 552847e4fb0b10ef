package org.siskintiller.core.replay;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotVersion;

import static com.google.common.truth.Truth.assertThat;

class ReplayTest {
    private static final Incarnation A = new Incarnation(1);
    private static final Incarnation B = new Incarnation(2);
    private static final Incarnation C = new Incarnation(3);

    private ClusterState state = ClusterState.EMPTY;
    private long operations;

    private Outcome apply(LogRecord record) {
        return apply(new OperationId(0, ++operations), record);
    }

    private Outcome apply(OperationId id, LogRecord record) {
        Replay.Step step = Replay.apply(state, new LogEntry(state.appliedOffset() + 1, id, record));
        state = step.state();
        return step.outcome();
    }

    private static Session session(Incarnation incarnation) {
        Address address = new Address("127.0.0.1", (int) (incarnation.id() & 0xfff));
        return new Session(
                incarnation,
                "instance",
                "domain",
                address,
                address,
                new BackendServer("lookup", address, 12, 130),
                List.of(),
                0,
                -1,
                false);
    }

    private void start(int slots) {
        ServiceConfig service = new ServiceConfig("lookup", true, true, true, slots, 1, 600, "normal", 600_000);
        apply(new LogRecord.ConfigPublished(
                0, new ClusterConfig(List.of(service), List.of(), List.of(), List.of(), ""), "operator"));
        apply(new LogRecord.SessionOpened(session(A)));
        apply(new LogRecord.SessionOpened(session(B).withWitnesses(List.of(A), 0)));
        apply(new LogRecord.SessionOpened(session(C).withWitnesses(List.of(A, B), 0)));
    }

    private Outcome assign(int slot, long baseVersion, Incarnation... candidates) {
        return apply(new LogRecord.SlotsAssigned(
                "lookup", List.of(new AssignmentChange(slot, baseVersion, List.of(candidates))), A, "test"));
    }

    /** Guards against a lost session that is never ended because its witnesses are lost too. */
    @Test
    void sessionAtTheSameAddressEndsTheEarlierOne() {
        start(8);
        Incarnation restarted = new Incarnation(0x1000 + B.id());
        LogRecord opened = new LogRecord.SessionOpened(session(restarted).withWitnesses(List.of(A), 0));
        assertThat(apply(opened)).isInstanceOf(Outcome.Accepted.class);
        assertThat(state.isOpen(B)).isFalse();
        assertThat(state.ended(B).orElseThrow().endedBy()).isEqualTo(restarted);
        assertThat(state.isOpen(C)).isTrue();
    }

    /** Guards against a session that lists the earlier session at its address as a witness. */
    @Test
    void earlierSessionAtTheSameAddressIsNoWitness() {
        start(8);
        Incarnation restarted = new Incarnation(0x1000 + B.id());
        Outcome outcome = apply(new LogRecord.SessionOpened(session(restarted).withWitnesses(List.of(A, B), 0)));
        assertThat(outcome).isInstanceOf(Outcome.Void.class);
        assertThat(state.isOpen(B)).isTrue();
    }

    /** Guards against two concurrent configuration changes, based on the same version, that both take effect. */
    @Test
    void firstOfTwoRacingConfigurationsWins() {
        start(8);
        ClusterConfig config = state.config();
        assertThat(apply(new LogRecord.ConfigPublished(1, config, "first"))).isInstanceOf(Outcome.Accepted.class);
        Outcome second = apply(new LogRecord.CustomerRemoved(1, "customer", "second"));
        assertThat(((Outcome.Void) second).reason()).isEqualTo(Outcome.Reason.STALE_VERSION);
        assertThat(state.configVersion()).isEqualTo(2);
    }

    /** Guards against a retried append, whose first response was lost, that takes effect twice. */
    @Test
    void dropsDuplicateOperation() {
        start(8);
        OperationId id = new OperationId(9, 9);
        apply(id, new LogRecord.DrainRequested(A, "operator"));
        Outcome second = apply(id, new LogRecord.DrainRequested(A, "operator"));
        assertThat(((Outcome.Void) second).reason()).isEqualTo(Outcome.Reason.DUPLICATE_OPERATION);
    }

    /** Guards against keys that map to different slots while the owners of their previous slots still serve them. */
    @Test
    void slotCountOfServiceIsFixed() {
        start(8);
        ServiceConfig wider = new ServiceConfig("lookup", true, true, true, 16, 1, 600, "normal", 600_000);
        Outcome outcome = apply(new LogRecord.ConfigPublished(
                1, new ClusterConfig(List.of(wider), List.of(), List.of(), List.of(), ""), "operator"));
        assertThat(outcome).isInstanceOf(Outcome.Void.class);
        assertThat(state.slotCount("lookup")).isEqualTo(8);
    }

    /** Guards against a fleet that cannot restart because none of the open sessions in the log responds. */
    @Test
    void sessionWithoutWitnessesOpensBesideLostOnes() {
        apply(new LogRecord.SessionOpened(session(A)));
        assertThat(apply(new LogRecord.SessionOpened(session(B)))).isInstanceOf(Outcome.Accepted.class);
    }

    /** Guards against a snapshot that restores a state different from the replayed one. */
    @Test
    void imageRestoresTheSameState() {
        start(300);
        assign(3, 0, A, B);
        assign(299, 0, B, C);
        apply(new LogRecord.SessionClosed(C));
        apply(new LogRecord.CustomerRemoved(1, "customer", "operator"));
        assertThat(ClusterState.of(state.image()).image()).isEqualTo(state.image());
    }

    /** Concurrent changes of assignments. */
    @Nested
    class Assignments {

        /** Guards against an outdated proposal that takes effect after a newer one. */
        @Test
        void lateProposalIsVoid() {
            start(8);
            assertThat(assign(0, 0, A, B)).isInstanceOf(Outcome.Accepted.class);
            assertThat(assign(0, 0, B, A)).isInstanceOf(Outcome.Void.class);
            assertThat(state.assignment("lookup", 0).candidates())
                    .containsExactly(A, B)
                    .inOrder();
        }

        /** Guards against a candidate whose session ended before the proposal was stored in the log. */
        @Test
        void endedCandidateMakesChangeVoid() {
            start(8);
            apply(new LogRecord.SessionEnded(B, A, 3));
            assertThat(assign(0, 0, A, B)).isInstanceOf(Outcome.Void.class);
        }

        /** Guards against a candidate of an earlier version that is dropped before it has released the slot. */
        @Test
        void predecessorsStayUntilActivation() {
            start(8);
            assign(0, 0, A, B);
            assign(0, 1, B, C);
            assign(0, 2, C, B);
            assertThat(state.assignment("lookup", 0).predecessors()).containsExactly(A, B, C);
            activate(2, B);
            assertThat(state.assignment("lookup", 0).predecessors()).containsExactly(A, B, C);
            activate(3, C);
            Assignment current = state.assignment("lookup", 0);
            assertThat(current.predecessors()).isEqualTo(Set.of());
            assertThat(current.activatedBy()).isEqualTo(C);
        }

        private void activate(long version, Incarnation by) {
            apply(new LogRecord.SlotsActivated("lookup", List.of(new SlotVersion(0, version)), by));
        }
    }
}
