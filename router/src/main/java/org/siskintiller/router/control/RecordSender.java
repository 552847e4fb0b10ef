package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.SharedRecord;
import org.siskintiller.router.store.StoredRecord;

/** Sends records to other companions, and of a key table only what has changed since it was last sent on the connection. */
final class RecordSender {
    private final ControlState state;
    private final TableDifferences differences;
    private final SentTables sentTables = new SentTables();

    RecordSender(ControlState state) {
        this.state = state;
        this.differences = new TableDifferences(state);
    }

    TableDifferences differences() {
        return differences;
    }

    /**
     * Sends records that were applied here.
     *
     * @param complete whether they are the newest of all keys
     */
    void send(PeerClient client, List<StoredRecord> records, boolean complete) {
        if (!client.connected()) {
            return;
        }
        List<SharedRecord> shared = new ArrayList<>();
        for (StoredRecord record : records) {
            if (state.isTableInForce(record)) {
                shared.add(changesOf(record, client));
            } else if (!ControlRecords.isKeyTable(record.key()) || state.isNewest(record)) {
                shared.add(SharedRecord.whole(record));
            }
        }
        client.shareRecords(shared, complete);
    }

    /** Sends records to a companion that lacks some, so that its tables are not known. */
    void sendWhole(PeerClient client, List<StoredRecord> records, boolean complete) {
        sentTables.forget(client.instance());
        send(client, records, complete);
    }

    private SharedRecord changesOf(StoredRecord record, PeerClient client) {
        String service = ControlRecords.serviceOf(record.key());
        long connection = client.connectionNumber();
        long known = sentTables.fence(client.instance(), connection, service);
        long sent = state.table(service).map(KeyTable::lastFence).orElse(0L);
        sentTables.sent(client.instance(), connection, service, sent);
        return differences.since(known, record);
    }
}
