package org.siskintiller.router.store;

import java.util.Objects;

/** Result of a call to the store. */
public sealed interface StoreResult<T> {

    /** The call was done. */
    record Success<T>(T value) implements StoreResult<T> {}

    /** A conditional append was not done, since the topic ends elsewhere. */
    record Conflict<T>(long end) implements StoreResult<T> {}

    /** Records to read have been deleted. Read the newest record of each key instead. */
    record Expired<T>() implements StoreResult<T> {}

    /** The call was not done and may be repeated later. */
    record Refused<T>(String detail) implements StoreResult<T> {
        public Refused {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /** No answer. The call may have been done, or may be done later. */
    record Unanswered<T>(String detail) implements StoreResult<T> {
        public Unanswered {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
