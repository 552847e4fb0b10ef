package org.siskintiller.router.request;

/** Handle of a request that was sent. */
public interface SentRequest {
    /** Gives it up. The listener hears nothing more. */
    void cancel();

    /** Allows the sender of the response that many more bytes. */
    void credit(int bytes);
}
