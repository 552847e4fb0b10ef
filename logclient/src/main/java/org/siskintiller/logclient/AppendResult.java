package org.siskintiller.logclient;

import java.util.Objects;

/** Result of an append, as far as the client knows it. */
public sealed interface AppendResult {

    /** All records are stored, without gaps from this offset. */
    record Stored(long firstOffset) implements AppendResult {}

    /** No record has been or will be stored. */
    record Refused(String reason) implements AppendResult {
        public Refused {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** Unknown whether the records are stored: they may be stored already, later or never. */
    record Uncertain(String reason) implements AppendResult {
        public Uncertain {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
