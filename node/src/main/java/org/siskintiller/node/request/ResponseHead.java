package org.siskintiller.node.request;

import java.util.List;

/**
 * Head of a response without its body.
 *
 * @param contentLength length of the body in bytes, -1 when it is unknown
 */
public record ResponseHead(int status, List<Header> headers, long contentLength) {

    public ResponseHead {
        headers = List.copyOf(headers);
    }
}
