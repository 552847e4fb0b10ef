package org.siskintiller.wire;

import java.util.List;
import java.util.Set;

import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Assignment;
import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.AuditEntry;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.HotKeyChange;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.RequestRecord.RequestState;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;
import org.siskintiller.core.model.StateImage;

/** At least one value of each variant. Field values differ, so that a round trip detects swapped fields. */
final class Samples {
    static final Incarnation A = new Incarnation(0x8123456789abcdefL);
    static final Incarnation B = new Incarnation(-2);
    static final Incarnation C = new Incarnation(3);
    private static final OperationId OPERATION = new OperationId(-5, 6);
    private static final SlotId SLOT = new SlotId("parcel-lookup", 255);

    private Samples() {}

    static RequestRecord requestRecord(RequestState state) {
        byte[] body = {0, -1, 7};
        return new RequestRecord(
                SLOT, "key-ü", -9, state, 201, "application/json", Bytes.copyOf(body), 1_790_000_000_000L);
    }

    static List<LogRecord> logRecords() {
        return List.of(
                new LogRecord.SessionOpened(session(-1, false)),
                new LogRecord.WitnessesChanged(A, 4, List.of(B, C)),
                new LogRecord.SessionEnded(A, B, 17),
                new LogRecord.SessionEnded(A, null, -1),
                new LogRecord.SessionClosed(B),
                new LogRecord.SlotsAssigned(
                        "map-export", List.of(new AssignmentChange(3, 8, List.of(A, B))), C, "owner lost"),
                new LogRecord.SlotsActivated("map-export", List.of(new SlotVersion(3, 9)), A),
                new LogRecord.HotKeysAssigned(
                        "map-export",
                        List.of(new HotKeyChange("k1", 2, List.of(B)), new HotKeyChange("k2", 3, List.of())),
                        A),
                new LogRecord.ConfigPublished(12, config(), "operator-1"),
                new LogRecord.PresetSwitched(13, "peak", "operator-2"),
                new LogRecord.CustomerRemoved(14, "customer-1", "operator-3"),
                new LogRecord.DepartureConfirmed("customer-1", 15, B),
                new LogRecord.DepartureProved("customer-1", 15, List.of(A, B), "operator-4"),
                new LogRecord.DrainRequested(C, "operator-5"),
                new LogRecord.Snapshot(99, stateImage()),
                new LogRecord.Audited(new AuditEntry("who", "what", "from", "to", "outcome")));
    }

    static List<PeerMessage> peerMessages() {
        List<RequestRecord> records = List.of(requestRecord(RequestState.STARTED));
        return List.of(
                new PeerMessage.Heartbeat(A, 1L << 40, 1L << 33, true),
                new PeerMessage.HeartbeatAck(A, B, 1L << 40, true, -1),
                new PeerMessage.LapseNotice(A, B),
                new PeerMessage.EndClaim(A, B, 5),
                new PeerMessage.EndClaimReply(A, B, true, -3, 6, true, List.of(C)),
                new PeerMessage.ReleaseRequest(A, "s", List.of(new SlotVersion(1, 2)), 7),
                new PeerMessage.Released(A, "s", List.of(new SlotVersion(1, 2)), records),
                new PeerMessage.FetchRecords(A, 8),
                new PeerMessage.Records(A, List.of(new LogEntry(9, OPERATION, new LogRecord.SessionClosed(B)))),
                new PeerMessage.ReplicateRecords(A, 10, true, records),
                new PeerMessage.ReplicateAck(A, 11),
                new PeerMessage.LoadReport(
                        A,
                        12.5,
                        List.of(new PeerMessage.SlotLoad(SLOT, 13.5)),
                        List.of(new PeerMessage.KeyLoad("s", "k", 14.5))));
    }

    private static Session session(long openedOffset, boolean draining) {
        return new Session(
                A,
                "instance-1",
                "domain-1",
                new Address("127.0.0.1", 65535),
                new Address("127.0.0.2", 2),
                new BackendServer("parcel-lookup", new Address("127.0.0.3", 3), 12, 130),
                List.of(B, C),
                5,
                openedOffset,
                draining);
    }

    private static ClusterConfig config() {
        return new ClusterConfig(
                List.of(new ServiceConfig("parcel-lookup", true, false, true, 256, 2, 600, "urgent", 600_000)),
                List.of(new RankConfig("urgent", 1, 8)),
                List.of(new CustomerConfig("customer-1", 4)),
                List.of(new PresetConfig(
                        "peak", List.of(new RankLimits("urgent", 30, 200, 1500)), 10, 11, 0.25, 1.5, 2.5)),
                "peak");
    }

    private static StateImage stateImage() {
        Assignment assignment = new Assignment(7, List.of(A, B), Set.of(B, C), A);
        return new StateImage(
                98,
                12,
                config(),
                List.of(session(4, true)),
                List.of(new StateImage.EndedSession(B, 50, C), new StateImage.EndedSession(C, 51, null)),
                List.of(
                        new StateImage.SlotAssignment(SLOT, assignment),
                        new StateImage.SlotAssignment(new SlotId("s", 0), Assignment.NONE)),
                List.of(new StateImage.HotKeyAssignment("parcel-lookup", "hot", assignment)),
                List.of(new StateImage.RemovedCustomer("customer-2", 60, List.of(A))),
                List.of(new StateImage.AppliedOperation(OPERATION, 61)));
    }
}
