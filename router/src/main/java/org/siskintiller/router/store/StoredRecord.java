package org.siskintiller.router.store;

import java.util.Objects;

import org.siskintiller.core.lease.StoreEra;

/**
 * Record of a topic.
 *
 * @param value content; empty if the key was removed
 * @param era era of the store in which the record was read; the offset is valid in it only
 */
public record StoredRecord(String key, byte[] value, long offset, long era) {

    public StoredRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }

    /** Creates a record of the first era. */
    public StoredRecord(String key, byte[] value, long offset) {
        this(key, value, offset, 0);
    }

    /** Place of the record, ordered by era. */
    public long position() {
        return StoreEra.position(era, offset);
    }

    /** Whether the record follows the other one in the order of the store. */
    public boolean isAfter(StoredRecord other) {
        return position() > other.position();
    }
}
