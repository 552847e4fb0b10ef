package org.siskintiller.node.runtime;

import org.siskintiller.node.request.Problem;

/** Result of one attempt to serve a request. */
sealed interface Attempt {

    /** The response was sent, or cut after its start. */
    record Responded(boolean complete) implements Attempt {}

    /** Nothing was sent to the caller yet. */
    record Failed(Problem problem, boolean unreachable) implements Attempt {}
}
