package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests without a key to keyed services. */
final class KeyMissingRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingContext context) {
        if (!context.service().config().keyed() || context.request().key() != null) {
            return Optional.empty();
        }
        String detail = "service " + context.request().service() + " needs a key";
        return Optional.of(context.refuse(RefusalKind.KEY_MISSING, detail, 0));
    }
}
