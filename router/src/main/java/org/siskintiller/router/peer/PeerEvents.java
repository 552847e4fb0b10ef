package org.siskintiller.router.peer;

import java.util.List;
import java.util.Optional;

import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.router.store.StoredRecord;

/** What companions hear from each other beside requests. */
public interface PeerEvents {
    /** Status of this companion, for the others. */
    PeerStatus status();

    /** A holder asks for its lease. Returns nothing when this companion is not the authority of that term. */
    Optional<LeaseReply> renewalReceived(HolderReport report, long term, int sequence);

    /** The authority answered a renewal. */
    void leaseReplyReceived(String instance, LeaseReply reply);

    /** A connected companion told its status. */
    void statusReceived(PeerClient client, PeerStatus status);

    /** A connection to another companion was made or lost. */
    void connectionChanged(String instance, boolean connected);

    void configReceived(byte[] content);

    void recordsReceived(List<StoredRecord> records);

    void suspicionsReceived(List<Suspicion> suspicions);

    /** Another companion has a higher term. Returns whether this one gave up its authority or never had it. */
    boolean resignationRequested(long term);

    void resignationAcknowledged(String instance, long term);
}
