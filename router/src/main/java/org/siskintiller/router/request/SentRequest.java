package org.siskintiller.router.request;

/** Handle of a request that was sent. */
public interface SentRequest {
    /** Cancels the request. The listener receives no further events. */
    void cancel();

    /** Whether the request may have run. Not while parts of its body wait to be sent. */
    default boolean mayHaveRun() {
        return true;
    }

    /** Allows the sender of the response to send this many more bytes. */
    void credit(int bytes);
}
