package org.siskintiller.router.request;

/** Where a request can be sent: the backend server of the own machine or another companion. */
public interface Destination {
    /** Bytes of a response that may be on the way without credit. */
    int WINDOW_BYTES = 256 * 1024;

    SentRequest send(ForwardedRequest request, ResponseListener listener);
}
