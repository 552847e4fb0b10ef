package org.siskintiller.core.departure;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Replay;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class DepartureProofTest {
    private static final Incarnation A = new Incarnation(1);
    private static final Incarnation B = new Incarnation(2);
    private static final Incarnation C = new Incarnation(3);

    private ClusterState state = ClusterState.EMPTY;

    private void apply(LogRecord record) {
        long offset = state.appliedOffset() + 1;
        state = Replay.apply(state, new LogEntry(offset, new OperationId(1, offset), record))
                .state();
    }

    private void open(Incarnation incarnation, List<Incarnation> witnesses) {
        Address address = new Address("127.0.0.1", (int) incarnation.id());
        BackendServer backendServer = new BackendServer("lookup", address, 12, 130);
        apply(new LogRecord.SessionOpened(new Session(
                incarnation, "instance", "domain", address, address, backendServer, witnesses, 0, -1, false)));
    }

    /** Guards against a proof that omits a session that may still run requests of the customer. */
    @Test
    void namesSessionsThatHaveNotConfirmed() {
        open(A, List.of());
        open(B, List.of(A));
        apply(new LogRecord.CustomerRemoved(0, "customer", "operator"));
        open(C, List.of(A));
        apply(new LogRecord.DepartureConfirmed("customer", 2, A));
        apply(new LogRecord.SessionEnded(B, A, 3));
        DepartureProof proof = DepartureProof.collect(state, "customer").orElseThrow();
        assertThat(proof.missing()).containsExactly(C);
        assertThat(proof.ended()).containsExactly(B);
        assertThrows(IllegalStateException.class, () -> proof.toRecord("operator"));
        apply(new LogRecord.DepartureConfirmed("customer", 2, C));
        assertThat(DepartureProof.collect(state, "customer").orElseThrow().isComplete())
                .isTrue();
    }

    /** Guards against counting the confirmation of an earlier removal for a later one. */
    @Test
    void confirmationBelongsToOneRemoval() {
        open(A, List.of());
        apply(new LogRecord.CustomerRemoved(0, "customer", "operator"));
        apply(new LogRecord.CustomerRemoved(1, "customer", "operator"));
        apply(new LogRecord.DepartureConfirmed("customer", 1, A));
        assertThat(DepartureProof.collect(state, "customer").orElseThrow().missing())
                .containsExactly(A);
    }
}
