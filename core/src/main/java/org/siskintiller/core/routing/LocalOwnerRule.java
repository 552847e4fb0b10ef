package org.siskintiller.core.routing;

import java.util.Optional;

/** Routes requests for this companion's backend server to the gate. */
final class LocalOwnerRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingContext context) {
        if (!context.target().equals(context.view().self())) {
            return Optional.empty();
        }
        return Optional.of(new RouteDecision.Local(context.slot()));
    }
}
