package org.siskintiller.core.gate;

import java.util.Objects;

import org.siskintiller.core.model.Bytes;

/** How a dispatched request ended at the backend server. */
public sealed interface DispatchOutcome {

    /** The backend server answered in full. body is empty when it is too large to keep or not needed. */
    record Completed(int status, String contentType, Bytes body, long durationNs) implements DispatchOutcome {
        public Completed {
            Objects.requireNonNull(contentType, "contentType");
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * The backend server refused before it ran anything, or nothing was sent to it.
     *
     * @param fenceRefused whether the server refused for want of a live grant, which says nothing about its health
     */
    record NotRun(String reason, boolean fenceRefused) implements DispatchOutcome {
        public NotRun(String reason) {
            this(reason, false);
        }
    }

    /** The connection broke or the answer was cut; the request may have run. */
    record Failed(String reason) implements DispatchOutcome {}

    /** No answer within the deadline; the request may have run. */
    record TimedOut() implements DispatchOutcome {}
}
