package org.siskintiller.core.admission;

import java.util.Objects;

/** Result of offering a request to the admission queue. */
public sealed interface AdmissionResult<T> {

    /** The request may be queued. evicted, if not null, was removed from the full queue and must be refused. */
    record Admitted<T>(T evicted) implements AdmissionResult<T> {}

    /** The rank's queue is full. */
    record QueueFull<T>(String detail, long retryAfterMs) implements AdmissionResult<T> {
        public QueueFull {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /** The request is not expected to end before its deadline. */
    record TooLate<T>(String detail, long retryAfterMs) implements AdmissionResult<T> {
        public TooLate {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
