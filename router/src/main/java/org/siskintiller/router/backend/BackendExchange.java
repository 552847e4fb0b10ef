package org.siskintiller.router.backend;

import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.ResponseHead;

/** One request on one connection to the backend server. */
interface BackendExchange {
    ForwardedRequest request();

    /** Id of the backend server that the request is for. */
    String expectedInstance();

    void started(ResponseHead head);

    void data(byte[] data, boolean last);

    /** The backend server rejected the request without running it. */
    void rejected(int status);

    /** The connection was closed or carried other data than the response; the request may have run. */
    void connectionFailed(String detail);

    /**
     * The backend server reported its load.
     *
     * @param workPercent present duration of work in percent of the usual one, 0 if it did not say
     */
    void loadReported(int running, int waiting, int slots, int workPercent);
}
