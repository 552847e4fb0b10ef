package org.siskintiller.router.store;

import java.util.List;

/** Records with the offset from which to read on. */
public record RecordBatch(List<StoredRecord> records, long nextOffset) {

    public RecordBatch {
        records = List.copyOf(records);
    }
}
