package org.siskintiller.core.routing;

import java.util.Optional;

/** One of the rules by which the ingress companion routes or refuses a request. */
interface IngressRule {

    /** Returns the decision, or an empty value if this rule does not apply. */
    Optional<RouteDecision> decide(RoutingContext context);
}
