package org.siskintiller.node.request;

import java.io.InputStream;
import java.util.Objects;

/** Request of a caller or of another companion, with its body and the sink of its response. */
public record InboundRequest(RequestHead head, InputStream body, ResponseSink sink) {

    public InboundRequest {
        Objects.requireNonNull(head, "head");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(sink, "sink");
    }
}
