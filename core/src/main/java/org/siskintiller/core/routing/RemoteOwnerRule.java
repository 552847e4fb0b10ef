package org.siskintiller.core.routing;

import java.util.Optional;

/** Routes requests to the companion of another backend server. */
final class RemoteOwnerRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingContext context) {
        return Optional.of(new RouteDecision.Remote(context.target(), context.slot()));
    }
}
