package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests that have no owner at the moment. */
final class OwnerUnknownRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingCall call) {
        if (call.target() != null) {
            return Optional.empty();
        }
        String detail = (call.slot() == null ? "the service" : call.slot().toString()) + " has no usable owner";
        return Optional.of(call.refuse(RefusalKind.OWNER_UNKNOWN, detail, Router.OWNER_RETRY_MS));
    }
}
