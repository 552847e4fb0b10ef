package org.siskintiller.router.store;

import java.util.List;

/** Records with the offset from which the next read continues. */
public record RecordBatch(List<StoredRecord> records, long nextOffset) {

    public RecordBatch {
        records = List.copyOf(records);
    }
}
