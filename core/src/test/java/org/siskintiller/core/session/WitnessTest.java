package org.siskintiller.core.session;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.control.ControlPlane;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.PeerMessage.EndClaimReply;
import org.siskintiller.core.model.PeerMessage.HeartbeatAck;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.placement.SpreadPlanner;

import static com.google.common.truth.Truth.assertThat;

/** One witness, driven by messages alone. */
class WitnessTest {
    private static final long MS = 1_000_000L;
    private static final Incarnation HOLDER = new Incarnation(1);
    private static final Incarnation FIRST = new Incarnation(2);
    private static final Incarnation SECOND = new Incarnation(3);
    private static final Incarnation WITNESS = new Incarnation(9);

    private final ControlPlane witness = new ControlPlane(session(WITNESS), 9, new SpreadPlanner());

    WitnessTest() {
        // The witness is the first session, which holds its lease by itself.
        LogRecord opened = new LogRecord.SessionOpened(session(WITNESS));
        LogRecord other = new LogRecord.SessionOpened(session(HOLDER).withWitnesses(List.of(WITNESS), 0));
        witness.handle(
                new ControlEvent.RecordsRead(
                        List.of(
                                new LogEntry(0, new OperationId(0, 1), opened),
                                new LogEntry(1, new OperationId(0, 2), other)),
                        true),
                0);
    }

    private static Session session(Incarnation incarnation) {
        Address address = new Address("127.0.0.1", 1);
        BackendServer backendServer = new BackendServer("lookup", address, 12, 130);
        return new Session(incarnation, "instance", "domain", address, address, backendServer, List.of(), 0, -1, false);
    }

    private <T> T ask(PeerMessage message, long atMs, Class<T> answer) {
        for (ControlAction action : witness.handle(new ControlEvent.MessageReceived(message), atMs * MS)) {
            if (action instanceof ControlAction.Send && answer.isInstance(((ControlAction.Send) action).message())) {
                return answer.cast(((ControlAction.Send) action).message());
            }
        }
        throw new AssertionError("no answer to " + message);
    }

    private HeartbeatAck beat(long sequence, long offset, long atMs) {
        return ask(new PeerMessage.Heartbeat(HOLDER, sequence, offset, false), atMs, HeartbeatAck.class);
    }

    private EndClaimReply claim(Incarnation claimant, long offset, long atMs) {
        return ask(new PeerMessage.EndClaim(claimant, HOLDER, offset), atMs, EndClaimReply.class);
    }

    /** Guards against a session that is ended while its holder may still hold the lease. */
    @Test
    void refusesWhileTheTimerRuns() {
        beat(1, 1, 100);
        EndClaimReply reply = claim(FIRST, 1, 1_200);
        assertThat(reply.granted()).isFalse();
        assertThat(reply.remainingMs()).isAtLeast(112);
        assertThat(claim(FIRST, 1, 1_312).granted()).isTrue();
    }

    /** Guards against a witness that forgot its heartbeats, or never got one, and grants at the first question. */
    @Test
    void startsItsTimerAtTheFirstRecordOrQuestion() {
        assertThat(claim(FIRST, 1, 1_100).granted()).isFalse();
        assertThat(claim(FIRST, 1, 1_212).granted()).isTrue();
    }

    /** Guards against a holder that renews after its end was granted. */
    @Test
    void endIsForGood() {
        beat(1, 1, 100);
        claim(FIRST, 1, 2_000);
        assertThat(beat(2, 1, 2_001).ended()).isTrue();
    }

    /** Guards against a claimant that activates under an older view than the holder or another claimant had. */
    @Test
    void returnsMarkAndEarlierClaimants() {
        beat(1, 7, 100);
        EndClaimReply first = claim(FIRST, 9, 2_000);
        assertThat(first.mark()).isEqualTo(7);
        assertThat(first.earlierClaimants()).isEmpty();
        EndClaimReply second = claim(SECOND, 5, 2_001);
        assertThat(second.granted()).isTrue();
        assertThat(second.mark()).isEqualTo(9);
        assertThat(second.earlierClaimants()).containsExactly(FIRST);
    }

    /** Guards against a wait for the timer when the holder itself has given up its lease. */
    @Test
    void grantsTheHolderItsOwnEndAtOnce() {
        beat(1, 1, 100);
        assertThat(claim(HOLDER, 1, 101).granted()).isTrue();
        assertThat(claim(FIRST, 1, 102).granted()).isTrue();
    }
}
