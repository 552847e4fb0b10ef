package org.siskintiller.core.model;

/** Random 128-bit id of one log record. Replay applies a record with a known id only once. */
public record OperationId(long high, long low) {

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
