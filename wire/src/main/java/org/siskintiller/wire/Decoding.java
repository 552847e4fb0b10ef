package org.siskintiller.wire;

import com.google.protobuf.InvalidProtocolBufferException;

/** Converts exceptions of the protobuf parser and of record constructors into {@link Decoded.Malformed}. */
final class Decoding {

    private Decoding() {}

    /** Parses or converts a message. */
    interface Conversion<T> {
        T run() throws InvalidProtocolBufferException;
    }

    static <T> Decoded<T> attempt(Conversion<T> conversion) {
        try {
            return new Decoded.Ok<>(conversion.run());
        } catch (InvalidProtocolBufferException | IllegalArgumentException | NullPointerException e) {
            return new Decoded.Malformed<>(String.valueOf(e.getMessage()));
        }
    }

    /** Rejects NaN and infinity, which would propagate through the planner's sums and comparisons. */
    static double requireFinite(double value, String name) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(name + " is " + value + ", not a finite number");
        }
        return value;
    }

    static int requireNonNegative(int value, String name) {
        if (value < 0) {
            throw new IllegalArgumentException(name + " is " + value + ", a negative number");
        }
        return value;
    }
}
