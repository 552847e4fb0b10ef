package org.siskintiller.logclient;

import java.util.Objects;

/** What is known about an append. */
public sealed interface AppendResult {

    /** All records are stored, without gaps from this offset. */
    record Stored(long firstOffset) implements AppendResult {}

    /** No record was or will be stored. */
    record Refused(String reason) implements AppendResult {
        public Refused {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** The records may be stored already, later or never. */
    record Uncertain(String reason) implements AppendResult {
        public Uncertain {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
