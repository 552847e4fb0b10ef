package org.siskintiller.core.routing;

import java.util.Optional;

/** One rule of the ingress companion. */
interface IngressRule {

    /** Returns the decision, or nothing if the next rule decides. */
    Optional<RouteDecision> decide(RoutingCall call);
}
