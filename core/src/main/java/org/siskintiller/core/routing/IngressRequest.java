package org.siskintiller.core.routing;

import java.util.Objects;
import java.util.Set;

import org.siskintiller.core.model.Incarnation;

/**
 * Request as received by the ingress companion.
 *
 * @param key key, or null
 * @param idempotencyKey idempotency key, or null; a non-idempotent request always has one
 * @param excluded companions that the request must not be sent to, after failed attempts
 */
public record IngressRequest(
        String service,
        String key,
        String idempotencyKey,
        String customer,
        String rank,
        long deadlineNs,
        long fingerprint,
        Set<Incarnation> excluded) {

    public IngressRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(rank, "rank");
        excluded = Set.copyOf(excluded);
    }
}
