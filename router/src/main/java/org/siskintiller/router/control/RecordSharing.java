package org.siskintiller.router.control;

import java.util.List;

import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.PeerStatus;
import org.siskintiller.router.store.StoredRecord;

/** Sends records of the control topic to companions that lack them. */
final class RecordSharing {
    /** A companion whose last contact with the store is older receives records from this one. */
    private static final long STALE_STORE_CONTACT_MS = 1_000;

    private final ControlState state;
    private final PeerDirectory peers;
    private final RecordSender sender;
    /** Term and number of tables that were sent last. */
    private long sentTerm = -1;

    private int sentTables;

    RecordSharing(ControlState state, PeerDirectory peers, RecordSender sender) {
        this.state = state;
        this.peers = peers;
        this.sender = sender;
    }

    /** Sends the records that a companion without contact to the store lacks. */
    void catchUp(PeerClient client, PeerStatus status, boolean complete) {
        // A record that was passed on may have crossed this status, so only what was known at the last one counts.
        if (status.storeAgeMs() > STALE_STORE_CONTACT_MS
                && peers.suppliesUpdatesTo(client.instance())
                && status.recordsPosition() < client.knownPosition()) {
            sender.sendWhole(client, state.records(), complete);
        }
        client.recordKnown(state.position());
    }

    /**
     * Sends the authority the key tables that the store has lost, once in each of its terms. It may know only the older table
     * of the store while holders serve by the lost one.
     */
    void sendLostTables() {
        AuthorityClaim claim = state.authority();
        List<StoredRecord> lost = state.lostTables();
        if (lost.isEmpty() || claim.term() == sentTerm && lost.size() <= sentTables) {
            return;
        }
        peers.client(claim.instance()).filter(PeerClient::connected).ifPresent(client -> {
            sender.sendWhole(client, lost, false);
            sentTerm = claim.term();
            sentTables = lost.size();
        });
    }
}
