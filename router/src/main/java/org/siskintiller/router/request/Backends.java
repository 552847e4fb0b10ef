package org.siskintiller.router.request;

import java.util.Optional;
import java.util.Set;

/** Backend servers that requests can be sent to. */
public interface Backends {
    /** Returns the instance whose backend server should serve a request without a key, except the excluded ones. */
    Optional<String> choose(ForwardedRequest request, Set<String> excluded);

    /** Returns the destination for the backend server of an instance, if it is connected and accepts requests. */
    Optional<Destination> destination(String instance);

    /** Returns the instance whose backend server holds a key. */
    Optional<String> holderOf(String service, int key);

    /** Whether all backend servers of a service are in evacuated failure domains. */
    default boolean isEvacuated(String service) {
        return false;
    }

    /** Counts a request that was sent, until the next load report. */
    void requestSent(String instance);

    /** Records whether a request failed, for the failure rate. */
    void requestEnded(String instance, boolean failed);
}
