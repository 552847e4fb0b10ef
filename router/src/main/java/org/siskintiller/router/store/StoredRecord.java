package org.siskintiller.router.store;

import java.util.Objects;

/**
 * Record of a topic.
 *
 * @param value content; empty if the key was removed
 */
public record StoredRecord(String key, byte[] value, long offset) {

    public StoredRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
