package org.siskintiller.core.invariant;

import java.util.Objects;

/** Signals that an invariant would be violated. The companion must stop serving. */
public final class InvariantViolation extends RuntimeException {
    private final Invariant invariant;

    public InvariantViolation(Invariant invariant, String detail) {
        super(invariant + ": " + detail);
        this.invariant = Objects.requireNonNull(invariant, "invariant");
    }

    public Invariant invariant() {
        return invariant;
    }
}
