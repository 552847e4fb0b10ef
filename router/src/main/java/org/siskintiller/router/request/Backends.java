package org.siskintiller.router.request;

import java.util.List;
import java.util.Optional;

import org.siskintiller.core.balance.DelayEstimate;
import org.siskintiller.core.path.RequestKind;

/** Backend servers that requests can be sent to. */
public interface Backends {
    /** Returns those of a service that take requests without a key. */
    List<DelayEstimate> candidates(String service, RequestKind kind);

    /** Returns the way to the backend server beside an instance, if it is connected and takes requests. */
    Optional<Destination> destination(String instance);

    /** Returns the instance beside the holder of a key. */
    Optional<String> holderOf(String service, int key);

    /** Notes a request that was sent, until the next load report. */
    void requestSent(String instance);

    /** Notes how a request ended, for the failure rate. */
    void requestEnded(String instance, boolean failed);
}
