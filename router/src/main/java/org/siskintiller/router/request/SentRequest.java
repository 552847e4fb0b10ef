package org.siskintiller.router.request;

/** Handle of a request that was sent. */
public interface SentRequest {
    /** Cancels the request. The listener receives no further events. */
    void cancel();

    /** Allows the sender of the response to send this many more bytes. */
    void credit(int bytes);
}
