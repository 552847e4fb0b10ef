package org.siskintiller.node.request;

import java.io.IOException;

/** Serves one request on the calling thread. */
public interface RequestHandler {

    /** Returns when the response is complete, refused or aborted. */
    void serve(InboundRequest request) throws IOException;
}
