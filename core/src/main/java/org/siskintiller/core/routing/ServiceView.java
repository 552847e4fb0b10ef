package org.siskintiller.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.siskintiller.core.balance.Candidate;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.ServiceConfig;

/**
 * Routing data of one service.
 *
 * @param owners owner of each slot that has one
 * @param hotKeyOwners owners of hot keys, which are assigned separately from their slots
 * @param candidates backend servers for requests without a key
 */
public record ServiceView(
        ServiceConfig config,
        Map<Integer, Incarnation> owners,
        Map<String, Incarnation> hotKeyOwners,
        List<Candidate> candidates) {

    public ServiceView {
        Objects.requireNonNull(config, "config");
        owners = Map.copyOf(owners);
        hotKeyOwners = Map.copyOf(hotKeyOwners);
        candidates = List.copyOf(candidates);
    }
}
