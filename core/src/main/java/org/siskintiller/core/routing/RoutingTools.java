package org.siskintiller.core.routing;

import java.util.Objects;
import java.util.random.RandomGenerator;

import org.siskintiller.core.balance.Balancer;
import org.siskintiller.core.quarantine.Quarantine;

/** Functions and shared state of the ingress companion that the rules use. */
public record RoutingTools(
        SlotFunction slots, Balancer balancer, RandomGenerator random, Quarantine quarantine, FloodLimit floodLimit) {

    public RoutingTools {
        Objects.requireNonNull(slots, "slots");
        Objects.requireNonNull(balancer, "balancer");
        Objects.requireNonNull(random, "random");
        Objects.requireNonNull(quarantine, "quarantine");
        Objects.requireNonNull(floodLimit, "floodLimit");
    }
}
