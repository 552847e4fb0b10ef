package org.siskintiller.router.peer;

import java.util.Objects;

import org.siskintiller.router.store.StoredRecord;

/**
 * Record of the control topic that a companion sends to another one.
 *
 * @param record the record; of a key table with a base, its value has only the rows with a higher fence
 * @param baseFence last fence of the table that the receiver has; 0 if the record is whole
 */
public record SharedRecord(StoredRecord record, long baseFence) {

    public SharedRecord {
        Objects.requireNonNull(record, "record");
    }

    public static SharedRecord whole(StoredRecord record) {
        return new SharedRecord(record, 0);
    }

    public boolean isWhole() {
        return baseFence == 0;
    }
}
