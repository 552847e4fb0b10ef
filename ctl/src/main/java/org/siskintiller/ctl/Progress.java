package org.siskintiller.ctl;

import java.util.Objects;

/** How far reading the control stream came. */
sealed interface Progress {

    /** Nothing followed the replayed records when they were read. */
    record AtTail() implements Progress {}

    /** The log service did not answer, or its records cannot be replayed. */
    record Unavailable(String reason) implements Progress {
        public Unavailable {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
