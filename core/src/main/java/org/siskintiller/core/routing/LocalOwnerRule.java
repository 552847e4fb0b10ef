package org.siskintiller.core.routing;

import java.util.Optional;

/** Passes requests of the own backend server to the gate. */
final class LocalOwnerRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingCall call) {
        if (!call.target().equals(call.view().self())) {
            return Optional.empty();
        }
        return Optional.of(new RouteDecision.Local(call.slot()));
    }
}
