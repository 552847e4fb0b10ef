package org.siskintiller.core.model;

import java.util.Objects;

/**
 * Published settings of a service.
 *
 * @param keyed whether requests carry a key whose owner must serve them
 * @param checksFence whether the backend servers check fencing tokens
 * @param slots number of hash slots
 * @param standbys number of standbys of each slot
 * @param longestRequestMs maximum time that a request may run on a backend server
 * @param defaultRank rank of requests that do not name one
 */
public record ServiceConfig(
        String name,
        boolean keyed,
        boolean idempotent,
        boolean checksFence,
        int slots,
        int standbys,
        long longestRequestMs,
        String defaultRank,
        long idempotencyWindowMs) {

    public ServiceConfig {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(defaultRank, "defaultRank");
    }
}
