package org.siskintiller.router.store;

import java.util.Objects;

/** Result of a call to the store. */
public sealed interface StoreResult<T> {

    /** The call succeeded. */
    record Success<T>(T value) implements StoreResult<T> {}

    /** A conditional append did not take effect, because the topic ends at another offset. */
    record Conflict<T>(long end) implements StoreResult<T> {}

    /**
     * Requested records have been deleted, or the offset is of an earlier era. The newest record of each key must be read
     * instead.
     */
    record Expired<T>() implements StoreResult<T> {}

    /** The call did not take effect and may be repeated. */
    record Refused<T>(String detail) implements StoreResult<T> {
        public Refused {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /** No response. The call may have taken effect, or may do so later. */
    record Unanswered<T>(String detail) implements StoreResult<T> {
        public Unanswered {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
