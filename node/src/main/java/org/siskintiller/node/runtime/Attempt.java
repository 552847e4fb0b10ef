package org.siskintiller.node.runtime;

import org.siskintiller.node.request.Problem;

/** Result of one attempt to serve a request. */
sealed interface Attempt {

    /** A response was sent; it was aborted after its start unless it is complete. */
    record Responded(boolean complete) implements Attempt {}

    /** Nothing has been sent to the caller yet. */
    record Failed(Problem problem, boolean unreachable) implements Attempt {}
}
