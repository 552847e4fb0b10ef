package org.siskintiller.core.routing;

import java.util.Optional;

/** Passes requests to the companion beside the owner. */
final class RemoteOwnerRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingCall call) {
        return Optional.of(new RouteDecision.Remote(call.target(), call.slot()));
    }
}
