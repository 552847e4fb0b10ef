package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests to services that are not in the published configuration. */
final class UnknownServiceRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingContext context) {
        if (context.service() != null) {
            return Optional.empty();
        }
        String detail = "there is no service " + context.request().service();
        return Optional.of(context.refuse(RefusalKind.UNKNOWN_SERVICE, detail, 0));
    }
}
