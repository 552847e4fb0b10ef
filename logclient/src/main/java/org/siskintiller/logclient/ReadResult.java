package org.siskintiller.logclient;

import java.util.List;
import java.util.Objects;

/** Result of a read. */
public sealed interface ReadResult {

    /**
     * Records in the order of their offsets, possibly none.
     *
     * @param nextOffset offset to read from next
     * @param atTail whether no record followed these when they were read
     */
    record Read(List<StoredRecord> records, long nextOffset, boolean atTail) implements ReadResult {
        public Read {
            records = List.copyOf(records);
        }
    }

    /** Records at the requested offset are no longer retained. */
    record Expired(long firstRetained) implements ReadResult {}

    /** The log service sent no response, or an invalid one. */
    record Unavailable(String reason) implements ReadResult {
        public Unavailable {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
