package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests of keyed services that have no key. */
final class KeyMissingRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingCall call) {
        if (!call.service().config().keyed() || call.request().key() != null) {
            return Optional.empty();
        }
        String detail = "service " + call.request().service() + " needs a key";
        return Optional.of(call.refuse(RefusalKind.KEY_MISSING, detail, 0));
    }
}
