package org.siskintiller.router.request;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.path.RequestKind;

/**
 * Request that is forwarded to a backend server.
 *
 * @param deadlineNs earlier one of the deadline of the caller and the timeout of the route
 * @param objectiveNs time at which the latency objective of the route ends
 * @param internal whether a backend server sends it as a part of another request that it runs
 * @param key key of a keyed service, or {@link #NO_KEY}
 * @param fingerprint equal for retries of the same request by the same caller
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

    /** Returns the request with a body that arrived after its head. */
    public ForwardedRequest withBody(byte[] newBody) {
        return new ForwardedRequest(
                requestId,
                service,
                method,
                uri,
                headers,
                newBody,
                deadlineNs,
                objectiveNs,
                priority,
                kind,
                internal,
                key,
                fingerprint);
    }

    /** Returns the request with a deadline that is not later than the given time. */
    public ForwardedRequest endingBy(long latestDeadlineNs) {
        if (deadlineNs <= latestDeadlineNs) {
            return this;
        }
        return new ForwardedRequest(
                requestId,
                service,
                method,
                uri,
                headers,
                body,
                latestDeadlineNs,
                objectiveNs,
                priority,
                kind,
                internal,
                key,
                fingerprint);
    }
}
