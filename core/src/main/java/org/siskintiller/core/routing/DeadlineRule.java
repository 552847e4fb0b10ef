package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests whose deadline passes before one hop could complete. */
final class DeadlineRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingContext context) {
        if (context.request().deadlineNs() - context.nowNs() >= Router.MIN_REMAINING_NS) {
            return Optional.empty();
        }
        return Optional.of(context.refuse(RefusalKind.DEADLINE_TOO_SHORT, "too little time is left", 0));
    }
}
