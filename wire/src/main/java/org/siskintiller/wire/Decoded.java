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

    /** The bytes are not a valid message. The reason is meant for logs and for the audit trail, not for programs. */
    record Malformed<T>(String reason) implements Decoded<T> {
        public Malformed {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
