package org.siskintiller.ctl;

import java.util.Objects;

/** Result of reading the control stream to its tail. */
sealed interface Progress {

    /** All records were replayed that the log contained at the last read. */
    record AtTail() implements Progress {}

    /** The log service did not respond, or its records cannot be replayed. */
    record Unavailable(String reason) implements Progress {
        public Unavailable {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
