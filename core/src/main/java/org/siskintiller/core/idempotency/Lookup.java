package org.siskintiller.core.idempotency;

import java.util.Objects;

import org.siskintiller.core.model.RequestRecord;

/**
 * What is known about the idempotency key of a request.
 *
 * @param key key of the record, or null if the idempotency key is not valid
 * @param record stored record, or null if there is none
 */
public record Lookup(Kind kind, RecordKey key, RequestRecord record) {

    public Lookup {
        Objects.requireNonNull(kind, "kind");
    }

    /** What the request's idempotency key allows. */
    public enum Kind {
        /** The request has not run and may be started. */
        NEW,
        /** An earlier request with this key is queued or runs here. */
        RUNNING,
        /** The first outcome is known. */
        COMPLETED,
        /** The first request may have run. */
        UNKNOWN,
        /** The key belongs to a different request. */
        REUSED,
        /** The key is no UUID version 7. */
        INVALID,
        /** The key is too old or from the future. */
        OUTSIDE_WINDOW,
        /** Records of an earlier owner are still being read, or there is no room for another record. */
        NOT_READY
    }
}
