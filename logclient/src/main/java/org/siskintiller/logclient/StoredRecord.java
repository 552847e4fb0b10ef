package org.siskintiller.logclient;

import java.util.Objects;

import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.OperationId;

/**
 * Record as the log service returns it.
 *
 * @param timeMs wall clock time of the log service when it stored the record
 */
public record StoredRecord(long offset, OperationId operationId, long timeMs, Bytes payload) {

    public StoredRecord {
        Objects.requireNonNull(operationId, "operationId");
        Objects.requireNonNull(payload, "payload");
    }
}
