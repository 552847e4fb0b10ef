package org.siskintiller.router.request;

/** Where a request can be sent: the backend server of this machine or another companion. */
public interface Destination {
    /** Flow control window: bytes of a response that may be in flight before the receiver grants credit. */
    int WINDOW_BYTES = 256 * 1024;

    SentRequest send(ForwardedRequest request, ResponseListener listener);
}
