package org.siskintiller.core.idempotency;

import java.util.Objects;

import org.siskintiller.core.model.RequestRecord;

/**
 * Result of looking up the idempotency key of a request.
 *
 * @param key key of the record, or null if the idempotency key is not valid
 * @param record stored record, or null if there is none
 */
public record Lookup(Kind kind, RecordKey key, RequestRecord record) {

    public Lookup {
        Objects.requireNonNull(kind, "kind");
    }

    public enum Kind {
        /** The request has not run and may be started. */
        NEW,
        /** An earlier request with this key is queued or runs here. */
        RUNNING,
        /** An earlier request with this key completed and its response is stored. */
        COMPLETED,
        /** An earlier request with this key may have run. */
        UNKNOWN,
        /** The key was used for a request with a different digest. */
        REUSED,
        /** The key is not a UUID version 7. */
        INVALID,
        /** The key's timestamp is too old or in the future. */
        OUTSIDE_WINDOW,
        /** Records of an earlier owner are still being read, or there is no room for another record. */
        NOT_READY
    }
}
