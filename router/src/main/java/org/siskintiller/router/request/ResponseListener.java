package org.siskintiller.router.request;

/** Receives the outcome of a send: a response in parts, a refusal or a failure. Exactly one of them ends the send. */
public interface ResponseListener {
    void started(ResponseHead head);

    void data(byte[] data, boolean last);

    void refused(Refusal refusal);

    void failed(SendFailure failure);
}
