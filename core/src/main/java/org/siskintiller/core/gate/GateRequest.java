package org.siskintiller.core.gate;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.model.RequestId;
import org.siskintiller.core.model.SlotId;

/**
 * Request attributes that the gate uses. The body is kept outside the core.
 *
 * @param slot slot that the key or idempotency key hashes to, or null for a request without either
 * @param idempotencyKey UUID version 7, or null
 * @param generatedKey whether the ingress companion generated the idempotency key
 * @param deadlineNs monotonic time after which the caller no longer waits
 * @param fingerprint digest that is equal for resends of the same request
 */
public record GateRequest(
        RequestId id,
        String service,
        SlotId slot,
        String customer,
        String rank,
        boolean idempotent,
        String idempotencyKey,
        boolean generatedKey,
        long digest,
        long deadlineNs,
        long fingerprint,
        List<Suspicion> suspicions) {

    public GateRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(rank, "rank");
        suspicions = List.copyOf(suspicions);
    }
}
