package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests of services that are not published. */
final class UnknownServiceRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingCall call) {
        if (call.service() != null) {
            return Optional.empty();
        }
        String detail = "there is no service " + call.request().service();
        return Optional.of(call.refuse(RefusalKind.UNKNOWN_SERVICE, detail, 0));
    }
}
