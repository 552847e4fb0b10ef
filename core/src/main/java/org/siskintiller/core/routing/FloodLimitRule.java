package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses, before the hop, part of the requests of a rank that the owner does not fully admit. */
final class FloodLimitRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingContext context) {
        if (context.target() == null
                || context.tools()
                        .floodLimit()
                        .admits(context.target(), context.request().rank(), context.nowNs())) {
            return Optional.empty();
        }
        String detail = "rank " + context.request().rank() + " exceeds its share at " + context.target();
        return Optional.of(context.refuse(RefusalKind.RANK_LIMITED, detail, FloodLimit.RETRY_AFTER_MS));
    }
}
