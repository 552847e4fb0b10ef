package org.siskintiller.router.store;

import java.util.Objects;

/**
 * Record of a topic.
 *
 * @param value content; empty when the key was dropped
 */
public record StoredRecord(String key, byte[] value, long offset) {

    public StoredRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
