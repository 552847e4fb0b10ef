package org.siskintiller.core.routing;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.siskintiller.core.model.Incarnation;

/** Routing data of all services at one offset of the control stream, as applied by this companion. */
public record RoutingView(Incarnation self, Map<String, ServiceView> services, Set<String> removedCustomers) {

    public RoutingView {
        Objects.requireNonNull(self, "self");
        services = Map.copyOf(services);
        removedCustomers = Set.copyOf(removedCustomers);
    }
}
