package org.siskintiller.core.admission;

import java.util.Objects;

/** Result of offering a request to the admission queue. */
public sealed interface AdmissionResult<T> {

    /** The request may be queued. evicted, if not null, left the full queue for it and must be refused. */
    record Admitted<T>(T evicted) implements AdmissionResult<T> {}

    /** The rank's queue is full. */
    record QueueFull<T>(String detail, long retryAfterMs) implements AdmissionResult<T> {
        public QueueFull {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /** The request would not end before its deadline. */
    record TooLate<T>(String detail, long retryAfterMs) implements AdmissionResult<T> {
        public TooLate {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
