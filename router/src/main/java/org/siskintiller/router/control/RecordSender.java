package org.siskintiller.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.router.peer.PeerClient;
import org.siskintiller.router.peer.SharedRecord;
import org.siskintiller.router.store.StoredRecord;

/** Sends records to other companions, and of a key table only what has changed since it was last sent on the connection. */
final class RecordSender {
    private final ControlState state;
    private final TableDifferences differences;
    /** What was sent to each companion. */
    private final Map<String, Sent> sent = new HashMap<>();

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
        Sent known = sent.get(client.instance());
        if (known == null || known.connection != client.connectionNumber()) {
            known = new Sent(client.connectionNumber());
            sent.put(client.instance(), known);
        }
        List<SharedRecord> shared = new ArrayList<>();
        for (StoredRecord record : records) {
            if (!record.key().startsWith(ControlRecords.KEY_TABLE_PREFIX)) {
                shared.add(SharedRecord.whole(record));
            } else if (state.isInForce(record)) {
                shared.add(differences.since(known.fences.getOrDefault(record.key(), 0L), record));
                known.fences.put(record.key(), fence(record));
            } else if (state.isNewest(record)) {
                shared.add(SharedRecord.whole(record));
            }
        }
        client.shareRecords(shared, complete);
    }

    /** Sends records to a companion that lacks some: what it has of the tables is not known. */
    void sendWhole(PeerClient client, List<StoredRecord> records, boolean complete) {
        sent.remove(client.instance());
        send(client, records, complete);
    }

    private long fence(StoredRecord record) {
        String service = record.key().substring(ControlRecords.KEY_TABLE_PREFIX.length());
        Optional<KeyTable> table = state.table(service);
        return table.map(KeyTable::lastFence).orElse(0L);
    }

    /** Last fences of the tables that were sent on one connection, by their keys. */
    private static final class Sent {
        private final long connection;
        private final Map<String, Long> fences = new HashMap<>();

        private Sent(long connection) {
            this.connection = connection;
        }
    }
}
