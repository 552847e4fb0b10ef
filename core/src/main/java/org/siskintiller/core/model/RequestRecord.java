package org.siskintiller.core.model;

import java.util.Objects;

/**
 * Record of a non-idempotent request.
 *
 * @param digest digest of the request, used to detect a different request with the same key
 * @param status HTTP status of the outcome, 0 while it is unknown
 * @param body stored response body, empty while the outcome is unknown or if it is too large to keep
 * @param recordedAtMs wall clock time in ms
 */
public record RequestRecord(
        SlotId slot,
        String idempotencyKey,
        long digest,
        RequestState state,
        int status,
        String contentType,
        Bytes body,
        long recordedAtMs) {

    public RequestRecord {
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Progress of a non-idempotent request. */
    public enum RequestState {
        STARTED,
        COMPLETED,
        UNKNOWN,
        NOT_RUN
    }
}
