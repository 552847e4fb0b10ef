package org.siskintiller.core.model;

import java.util.List;

/** Control message between companions. {@link Datagram} messages are sent by UDP, the others by TCP. */
public sealed interface PeerMessage {

    /** Small message sent by UDP, which may be lost or duplicated. */
    sealed interface Datagram extends PeerMessage {}

    /** Renews the holder's lease. With recordsInLog, request records may be in the requests stream. */
    record Heartbeat(Incarnation holder, long sequence, long appliedOffset, boolean recordsInLog) implements Datagram {}

    /** Response of a witness. With ended, the holder's incarnation can never renew its lease again. */
    record HeartbeatAck(Incarnation witness, Incarnation holder, long sequence, boolean ended, long appliedOffset)
            implements Datagram {}

    /** Reports to the candidates after the holder that a witness's timer for the holder has expired. */
    record LapseNotice(Incarnation witness, Incarnation holder) implements Datagram {}

    /** Requests that a witness end the holder's incarnation permanently. */
    record EndClaim(Incarnation claimant, Incarnation holder, long appliedOffset) implements Datagram {}

    /**
     * Response of a witness to a claim.
     *
     * @param remainingMs time until the holder's timer expires, if the claim was not granted
     * @param mark highest applied offset that the holder or a claimant had reported before this claim
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

    /** Requests that a predecessor release slots to the candidates of the requested versions. */
    record ReleaseRequest(Incarnation from, String service, List<SlotVersion> slots, long appliedOffset)
            implements PeerMessage {
        public ReleaseRequest {
            slots = List.copyOf(slots);
        }
    }

    /** Commits the sender never to serve the slots below these versions. Sent when no request of them runs. */
    record Released(Incarnation from, String service, List<SlotVersion> slots, List<RequestRecord> records)
            implements PeerMessage {
        public Released {
            slots = List.copyOf(slots);
            records = List.copyOf(records);
        }
    }

    /** Requests records of the control stream from a peer. */
    record FetchRecords(Incarnation from, long fromOffset) implements PeerMessage {}

    /** Relayed records of the control stream, without gaps from the requested offset. */
    record Records(Incarnation from, List<LogEntry> entries) implements PeerMessage {
        public Records {
            entries = List.copyOf(entries);
        }
    }

    /** Stores request records at the standby. With reset, earlier records of their slots are deleted first. */
    record ReplicateRecords(Incarnation from, long sequence, boolean reset, List<RequestRecord> records)
            implements PeerMessage {
        public ReplicateRecords {
            records = List.copyOf(records);
        }
    }

    /** Confirms that the standby has stored the records up to the sequence number. */
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
