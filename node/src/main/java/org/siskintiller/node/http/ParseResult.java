package org.siskintiller.node.http;

import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.RequestHead;

/** Result of parsing a request head. */
public sealed interface ParseResult {

    /** The head is well formed. */
    record Ok(RequestHead head) implements ParseResult {}

    /** The request is refused and its connection closed, so that no byte of its body is parsed as another request. */
    record Rejected(Problem problem) implements ParseResult {}
}
