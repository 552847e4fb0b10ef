package org.siskintiller.core.replay;

import java.util.List;
import java.util.Objects;

/** Result of the replay of one record. */
public sealed interface Outcome {

    /** The record took effect, except for the listed slots of an assignment or activation. */
    record Accepted(List<Integer> voidSlots) implements Outcome {
        static final Accepted COMPLETE = new Accepted(List.of());

        public Accepted {
            voidSlots = List.copyOf(voidSlots);
        }
    }

    /** The record has no effect. */
    record Void(Reason reason, String detail) implements Outcome {
        public Void {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(detail, "detail");
        }
    }

    /** Why a record has no effect. */
    enum Reason {
        DUPLICATE_OPERATION,
        STALE_VERSION,
        UNKNOWN_SESSION,
        SESSION_KNOWN,
        INVALID
    }
}
