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

/** Tests one witness through the messages that it receives. */
class WitnessTest {
    private static final long MS = 1_000_000L;
    private static final Incarnation HOLDER = new Incarnation(1);
    private static final Incarnation FIRST = new Incarnation(2);
    private static final Incarnation SECOND = new Incarnation(3);
    private static final Incarnation WITNESS = new Incarnation(9);

    private final ControlPlane witness = new ControlPlane(session(WITNESS), 9, new SpreadPlanner());

    WitnessTest() {
        // The witness has the first session, which has no witnesses and renews its own lease.
        LogRecord opened = new LogRecord.SessionOpened(session(WITNESS));
        LogRecord holderOpened = new LogRecord.SessionOpened(session(HOLDER).withWitnesses(List.of(WITNESS), 0));
        witness.handle(
                new ControlEvent.RecordsRead(
                        List.of(
                                new LogEntry(0, new OperationId(0, 1), opened),
                                new LogEntry(1, new OperationId(0, 2), holderOpened)),
                        true),
                0);
    }

    private static Session session(Incarnation incarnation) {
        Address address = new Address("127.0.0.1", (int) incarnation.id());
        BackendServer backendServer = new BackendServer("lookup", address, 12, 130);
        return new Session(incarnation, "instance", "domain", address, address, backendServer, List.of(), 0, -1, false);
    }

    private <T> T sendAndReceive(PeerMessage message, long atMs, Class<T> responseType) {
        for (ControlAction action : witness.handle(new ControlEvent.MessageReceived(message), atMs * MS)) {
            if (action instanceof ControlAction.Send
                    && responseType.isInstance(((ControlAction.Send) action).message())) {
                return responseType.cast(((ControlAction.Send) action).message());
            }
        }
        throw new AssertionError("no response to " + message);
    }

    private HeartbeatAck sendHeartbeat(long sequence, long offset, long atMs) {
        return sendAndReceive(new PeerMessage.Heartbeat(HOLDER, sequence, offset, false), atMs, HeartbeatAck.class);
    }

    private EndClaimReply sendClaim(Incarnation claimant, long offset, long atMs) {
        return sendAndReceive(new PeerMessage.EndClaim(claimant, HOLDER, offset), atMs, EndClaimReply.class);
    }

    /** Guards against a granted claim while the holder may still hold its lease. */
    @Test
    void refusesClaimWhileTimerRuns() {
        sendHeartbeat(1, 1, 100);
        EndClaimReply reply = sendClaim(FIRST, 1, 1_200);
        assertThat(reply.granted()).isFalse();
        assertThat(reply.remainingMs()).isAtLeast(112);
        assertThat(sendClaim(FIRST, 1, 1_312).granted()).isTrue();
    }

    /** Guards against a witness that lost the heartbeats, or never received one, and grants a claim at once. */
    @Test
    void startsTimerAtFirstRecordOrMessage() {
        assertThat(sendClaim(FIRST, 1, 1_100).granted()).isFalse();
        assertThat(sendClaim(FIRST, 1, 1_212).granted()).isTrue();
    }

    /** Guards against a holder that renews its lease after its end was granted. */
    @Test
    void endIsPermanent() {
        sendHeartbeat(1, 1, 100);
        sendClaim(FIRST, 1, 2_000);
        assertThat(sendHeartbeat(2, 1, 2_001).ended()).isTrue();
    }

    /** Guards against a claimant that activates slots with an older state than the holder or another claimant had. */
    @Test
    void returnsMarkAndEarlierClaimants() {
        sendHeartbeat(1, 7, 100);
        EndClaimReply first = sendClaim(FIRST, 9, 2_000);
        assertThat(first.mark()).isEqualTo(7);
        assertThat(first.earlierClaimants()).isEmpty();
        EndClaimReply second = sendClaim(SECOND, 5, 2_001);
        assertThat(second.granted()).isTrue();
        assertThat(second.mark()).isEqualTo(9);
        assertThat(second.earlierClaimants()).containsExactly(FIRST);
    }

    /** Guards against a takeover that waits for the timer although the holder has relinquished its lease. */
    @Test
    void grantsHolderItsOwnEndAtOnce() {
        sendHeartbeat(1, 1, 100);
        assertThat(sendClaim(HOLDER, 1, 101).granted()).isTrue();
        assertThat(sendClaim(FIRST, 1, 102).granted()).isTrue();
    }
}
