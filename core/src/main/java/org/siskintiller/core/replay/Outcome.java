package org.siskintiller.core.replay;

import java.util.List;
import java.util.Objects;

/** What replay did with a record. */
public sealed interface Outcome {

    /** The record took effect, except for the named slots of an assignment or activation. */
    record Accepted(List<Integer> voidSlots) implements Outcome {
        static final Accepted WHOLE = new Accepted(List.of());

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
