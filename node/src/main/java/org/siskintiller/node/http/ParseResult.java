package org.siskintiller.node.http;

import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.RequestHead;

/** Result of parsing a request head. */
public sealed interface Parsed {

    /** The head is well formed. */
    record Ok(RequestHead head) implements Parsed {}

    /** The request is refused and its connection closed, so that no byte of it is taken for another request. */
    record Rejected(Problem problem) implements Parsed {}
}
