package org.siskintiller.core.model;

import java.util.List;

/** Control message between companions. Messages of {@link Datagram} go by UDP, the others by TCP. */
public sealed interface PeerMessage {

    /** Message that is small, may be lost or repeated, and travels by UDP. */
    sealed interface Datagram extends PeerMessage {}

    /** Renews the holder's lease at a witness. recordsInLog: request records may be in the requests stream. */
    record Heartbeat(Incarnation holder, long sequence, long appliedOffset, boolean recordsInLog) implements Datagram {}

    /** Answer of a witness. If ended, the holder's incarnation can never renew again. */
    record HeartbeatAck(Incarnation witness, Incarnation holder, long sequence, boolean ended, long appliedOffset)
            implements Datagram {}

    /** A witness's timer of the holder has lapsed. Sent to the candidates behind the holder. */
    record LapseNotice(Incarnation witness, Incarnation holder) implements Datagram {}

    /** Asks a witness to end the holder's incarnation for good. */
    record EndClaim(Incarnation claimant, Incarnation holder, long appliedOffset) implements Datagram {}

    /**
     * Answer of a witness to a claim.
     *
     * @param remainingMs time until the holder's timer lapses, when the claim was not granted
     * @param mark highest applied offset that holder or claimants had confirmed before this claim
     * @param earlierClaimants sessions whose claim was granted before
     */
    record EndClaimReply(
            Incarnation witness,
            Incarnation holder,
            boolean granted,
            long remainingMs,
            long mark,
            boolean recordsInLog,
            List<Incarnation> earlierClaimants)
            implements Datagram {
        public EndClaimReply {
            earlierClaimants = List.copyOf(earlierClaimants);
        }
    }

    /** Asks a predecessor to give up slots for the requested versions. */
    record ReleaseRequest(Incarnation from, String service, List<SlotVersion> slots, long appliedOffset)
            implements PeerMessage {
        public ReleaseRequest {
            slots = List.copyOf(slots);
        }
    }

    /** Promise never to serve the slots below these versions, sent when nothing of them runs any more. */
    record Released(Incarnation from, String service, List<SlotVersion> slots, List<RequestRecord> records)
            implements PeerMessage {
        public Released {
            slots = List.copyOf(slots);
            records = List.copyOf(records);
        }
    }

    /** Asks a peer for records of the control stream. */
    record FetchRecords(Incarnation from, long fromOffset) implements PeerMessage {}

    /** Relayed records of the control stream, without gaps from the requested offset. */
    record Records(Incarnation from, List<LogEntry> entries) implements PeerMessage {
        public Records {
            entries = List.copyOf(entries);
        }
    }

    /** Stores request records at the standby. With reset, earlier records of their slots are dropped first. */
    record ReplicateRecords(Incarnation from, long sequence, boolean reset, List<RequestRecord> records)
            implements PeerMessage {
        public ReplicateRecords {
            records = List.copyOf(records);
        }
    }

    /** The standby stores the records up to the sequence number. */
    record ReplicateAck(Incarnation from, long sequence) implements PeerMessage {}

    /** Load of the sender's backend server and slots, for the planner. */
    record LoadReport(Incarnation from, double load, List<SlotLoad> slots, List<KeyLoad> hotKeys)
            implements PeerMessage {
        public LoadReport {
            slots = List.copyOf(slots);
            hotKeys = List.copyOf(hotKeys);
        }
    }

    /** Requests per second of a slot. */
    record SlotLoad(SlotId slot, double requestsPerSecond) {}

    /** Requests per second of a key. */
    record KeyLoad(String service, String key, double requestsPerSecond) {}
}
