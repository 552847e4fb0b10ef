package org.siskintiller.wire;

import java.util.Objects;

/** Result of decoding bytes from outside this process. */
public sealed interface Decoded<T> {

    /** The bytes are a valid message. */
    record Ok<T>(T value) implements Decoded<T> {
        public Ok {
            Objects.requireNonNull(value, "value");
        }
    }

    /** The bytes are no valid message. The reason is for logs. */
    record Malformed<T>(String reason) implements Decoded<T> {
        public Malformed {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
