package org.siskintiller.core.model;

import java.util.Objects;

/** Record read from the control stream, with its offset and operation id. */
public record LogEntry(long offset, OperationId operationId, LogRecord record) {

    public LogEntry {
        Objects.requireNonNull(operationId, "operationId");
        Objects.requireNonNull(record, "record");
    }
}
