package org.siskintiller.node.request;

import java.io.IOException;
import java.io.OutputStream;

/** Way back to the caller. Exactly one of start and refuse is called, and after start one of finish and abort. */
public interface ResponseSink {

    /** Sends the head and returns the stream of the body. */
    OutputStream start(ResponseHead head) throws IOException;

    /** Marks the response as complete. */
    void finish() throws IOException;

    /** Cuts the response so that the caller cannot take it for complete. */
    void abort(String reason);

    /** Answers with an error. */
    void refuse(Problem problem) throws IOException;

    /** Returns whether the head was sent. */
    boolean started();

    /** Returns whether the response was cut. */
    boolean aborted();
}
