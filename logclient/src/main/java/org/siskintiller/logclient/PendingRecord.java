package org.siskintiller.logclient;

import java.util.Objects;

import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.OperationId;

/** Record to be appended. A retried append keeps the operation id, so that a replay applies the record once. */
public record PendingRecord(OperationId operationId, Bytes payload) {

    public PendingRecord {
        Objects.requireNonNull(operationId, "operationId");
        Objects.requireNonNull(payload, "payload");
    }
}
