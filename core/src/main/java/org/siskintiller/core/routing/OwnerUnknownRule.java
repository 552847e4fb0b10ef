package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests for which there is currently no owner or backend server. */
final class OwnerUnknownRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingContext context) {
        if (context.target() != null) {
            return Optional.empty();
        }
        String detail = (context.slot() == null ? "the service" : context.slot().toString()) + " has no usable owner";
        return Optional.of(context.refuse(RefusalKind.OWNER_UNKNOWN, detail, Router.OWNER_RETRY_MS));
    }
}
