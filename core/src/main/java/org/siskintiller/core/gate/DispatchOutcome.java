package org.siskintiller.core.gate;

import java.util.Objects;

import org.siskintiller.core.model.Bytes;

/** Outcome of a dispatched request at the backend server. Its text form is logged and sent to callers. */
public sealed interface DispatchOutcome {

    /** The backend server sent a complete response. body is empty if it is too large to keep or not needed. */
    record Answered(int status, String contentType, Bytes body, long durationNs) implements DispatchOutcome {
        public Answered {
            Objects.requireNonNull(contentType, "contentType");
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * The backend server refused before it ran anything, or nothing was sent to it.
     *
     * @param fenceRefused whether the backend server refused for lack of a live grant, which is unrelated to its health
     */
    record NotRun(String reason, boolean fenceRefused) implements DispatchOutcome {
        public NotRun(String reason) {
            this(reason, false);
        }
    }

    /** The connection broke or the response was truncated; the request may have run. */
    record Broken(String reason) implements DispatchOutcome {}

    /** No response within the deadline; the request may have run. */
    record TimedOut() implements DispatchOutcome {}
}
