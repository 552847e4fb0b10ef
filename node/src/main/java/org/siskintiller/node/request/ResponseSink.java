package org.siskintiller.node.request;

import java.io.IOException;
import java.io.OutputStream;

/**
 * Sends the response to a request. Exactly one of start and refuse is called, and after start exactly one of finish and
 * abort.
 */
public interface ResponseSink {

    /** Sends the head and returns the stream of the body. */
    OutputStream start(ResponseHead head) throws IOException;

    /** Marks the response as complete. */
    void finish() throws IOException;

    /** Breaks off the response in a way that the caller can distinguish from a complete one. */
    void abort(String reason);

    /** Sends an error response. */
    void refuse(Problem problem) throws IOException;

    /** Returns whether the head was sent. */
    boolean started();

    /** Returns whether the response was aborted. */
    boolean aborted();
}
