package org.siskintiller.ctl;

import java.util.Objects;

import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.replay.Outcome;

/** Outcome of a record that the tool appended. */
sealed interface Submission {

    /** The record took effect at this offset. */
    record Applied(OperationId operationId, long offset) implements Submission {}

    /** The record is in the log and has no effect. */
    record NoEffect(OperationId operationId, long offset, Outcome.Void cause) implements Submission {
        public NoEffect {
            Objects.requireNonNull(cause, "cause");
        }
    }

    /** The log refused the record; it will never take effect. */
    record NotStored(String reason) implements Submission {
        public NotStored {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The record may have taken effect, or may do so later.
     *
     * @param searchedThrough next offset after the records that were searched for the operation id
     */
    record Unknown(OperationId operationId, long searchedThrough, String reason) implements Submission {
        public Unknown {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
