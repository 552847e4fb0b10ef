package org.siskintiller.router.request;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.path.RequestKind;

/**
 * Request on its way to a backend server.
 *
 * @param deadlineNs time at which the caller gives up or the route times out, whichever is first
 * @param objectiveNs time until which the response has its full value
 * @param internal whether a backend server makes it for a request that it runs
 * @param key key of a keyed service, or {@link #NO_KEY}
 * @param fingerprint equal for repeats of the same request by the same caller
 */
public record ForwardedRequest(
        String requestId,
        String service,
        String method,
        String uri,
        List<Header> headers,
        byte[] body,
        long deadlineNs,
        long objectiveNs,
        int priority,
        RequestKind kind,
        boolean internal,
        int key,
        long fingerprint) {
    public static final int NO_KEY = -1;

    public ForwardedRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(kind, "kind");
        headers = List.copyOf(headers);
    }
}
