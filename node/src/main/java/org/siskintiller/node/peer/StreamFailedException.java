package org.siskintiller.node.peer;

import java.io.IOException;

import org.siskintiller.core.gate.RefusalKind.Outcome;

/** Thrown when a stream was reset or its connection was lost. */
public final class StreamFailedException extends IOException {
    private final Outcome outcome;

    public StreamFailedException(Outcome outcome, String reason) {
        super(reason);
        this.outcome = outcome;
    }

    /** Returns what is known about the execution of the request. */
    public Outcome outcome() {
        return outcome;
    }
}
