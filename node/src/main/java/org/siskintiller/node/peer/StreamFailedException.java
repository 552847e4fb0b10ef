package org.siskintiller.node.peer;

import java.io.IOException;

import org.siskintiller.core.gate.RefusalKind.Outcome;

/** A stream was reset or its connection broke. */
public final class StreamFailedException extends IOException {
    private final Outcome outcome;

    public StreamFailedException(Outcome outcome, String reason) {
        super(reason);
        this.outcome = outcome;
    }

    /** What is known about the execution of the request. */
    public Outcome outcome() {
        return outcome;
    }
}
