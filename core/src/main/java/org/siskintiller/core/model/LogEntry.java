package org.siskintiller.core.model;

import java.util.Objects;

/** Record of the control stream as it was read. */
public record LogEntry(long offset, OperationId operationId, LogRecord record) {

    public LogEntry {
        Objects.requireNonNull(operationId, "operationId");
        Objects.requireNonNull(record, "record");
    }
}
