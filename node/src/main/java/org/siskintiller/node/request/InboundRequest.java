package org.siskintiller.node.request;

import java.io.InputStream;
import java.util.Objects;

/** Request with its body and the way back, from a caller or from another companion. */
public record InboundRequest(RequestHead head, InputStream body, ResponseSink sink) {

    public InboundRequest {
        Objects.requireNonNull(head, "head");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(sink, "sink");
    }
}
