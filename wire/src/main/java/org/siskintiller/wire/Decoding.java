package org.siskintiller.wire;

import com.google.protobuf.InvalidProtocolBufferException;

/** Turns the failures of protobuf and of the records' constructors into {@link Decoded.Malformed}. */
final class Decoding {

    private Decoding() {}

    /** Step that parses or converts a message. */
    interface Step<T> {
        T run() throws InvalidProtocolBufferException;
    }

    static <T> Decoded<T> attempt(Step<T> step) {
        try {
            return new Decoded.Ok<>(step.run());
        } catch (InvalidProtocolBufferException | IllegalArgumentException | NullPointerException e) {
            return new Decoded.Malformed<>(String.valueOf(e.getMessage()));
        }
    }

    /** A NaN or infinite load would spread through sums and comparisons of the planner. */
    static double finite(double value, String name) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(name + " is " + value + ", not a finite number");
        }
        return value;
    }

    static int notNegative(int value, String name) {
        if (value < 0) {
            throw new IllegalArgumentException(name + " is " + value + ", a negative number");
        }
        return value;
    }
}
