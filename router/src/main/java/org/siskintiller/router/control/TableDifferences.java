package org.siskintiller.router.control;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyTable;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.peer.SharedRecord;
import org.siskintiller.router.store.StoredRecord;

/**
 * Reduces the record of a key table to the rows that have changed, for a companion that has an earlier table, and completes it
 * there.
 *
 * <p>Load pattern: balancing changes some of several hundred rows several times a second, and each change goes to all
 * companions of a failure domain over a link of 10 Mbit/s. Whole tables fill such a link, and cancellations wait behind them.
 */
final class TableDifferences {
    private final ControlState state;
    /** Record that was reduced last, for many receivers with the same base. */
    private StoredRecord reduced;

    private SharedRecord difference;

    TableDifferences(ControlState state) {
        this.state = state;
    }

    /**
     * Returns what a companion needs of the record of a key table in force.
     *
     * @param knownFence last fence of the table that the companion has, 0 if it has none
     */
    SharedRecord since(long knownFence, StoredRecord record) {
        String service = ControlRecords.serviceOf(record.key());
        // Within a term ranges are only assigned anew. A table of another term may differ in any row.
        if (knownFence == 0 || knownFence < state.termStartFence(service)) {
            return SharedRecord.whole(record);
        }
        if (record != reduced || difference.baseFence() != knownFence) {
            KeyTable table = state.table(service).orElseThrow();
            List<KeyGrant> changed = table.grantsAfter(knownFence);
            byte[] value = ControlRecords.encode(new KeyTable(service, table.term(), table.lastFence(), changed));
            reduced = record;
            difference =
                    new SharedRecord(new StoredRecord(record.key(), value, record.offset(), record.era()), knownFence);
        }
        return difference;
    }

    /** Returns the whole record, or nothing if the known table is neither its base nor a later one of the same term. */
    Optional<StoredRecord> complete(SharedRecord shared) {
        StoredRecord record = shared.record();
        if (shared.isWhole()) {
            return Optional.of(record);
        }
        try {
            KeyTable changes = ControlRecords.decodeKeyTable(record.value());
            KeyTable known = state.table(changes.service()).orElse(KeyTable.empty(changes.service()));
            if (known.term() != changes.term() || known.lastFence() < shared.baseFence()) {
                return Optional.empty();
            }
            if (known.lastFence() >= changes.lastFence()) {
                return state.record(record.key());
            }
            KeyTable table = known.updated(changes.lastFence(), changes.grants());
            return Optional.of(
                    new StoredRecord(record.key(), ControlRecords.encode(table), record.offset(), record.era()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            EventLog.log(
                    LogEvent.LOG_MALFORMED, "key", record.key(), "offset", record.offset(), "cause", e.getMessage());
            return Optional.empty();
        }
    }
}
