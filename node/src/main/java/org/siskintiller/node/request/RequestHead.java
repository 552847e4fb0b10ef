package org.siskintiller.node.request;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.model.RequestId;

/**
 * Head of a request without its body.
 *
 * @param path path after the service name, with the query
 * @param headers end-to-end headers only
 * @param key key of a keyed service, or null
 * @param rank rank that the caller requested, or null
 * @param idempotencyKey idempotency key, or null
 * @param generatedKey whether the ingress companion generated the idempotency key
 * @param deadlineMs time that the caller allows for the request, 0 when it sets no deadline
 * @param contentLength length of the body in bytes, -1 when it is unknown
 */
public record RequestHead(
        RequestId id,
        String method,
        String service,
        String path,
        List<Header> headers,
        String key,
        String customer,
        String rank,
        String idempotencyKey,
        boolean generatedKey,
        long deadlineMs,
        long contentLength) {

    public RequestHead {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(customer, "customer");
        headers = List.copyOf(headers);
    }

    public RequestHead withIdempotencyKey(String newKey, boolean generated) {
        return new RequestHead(
                id, method, service, path, headers, key, customer, rank, newKey, generated, deadlineMs, contentLength);
    }

    public boolean hasBody() {
        return contentLength != 0;
    }
}
