package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses a part of a rank that its owner admits only in part, before the hop. */
final class FloodLimitRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingCall call) {
        if (call.target() == null
                || call.tools()
                        .floodLimit()
                        .admits(call.target(), call.request().rank(), call.nowNs())) {
            return Optional.empty();
        }
        String detail = "rank " + call.request().rank() + " exceeds its share at " + call.target();
        return Optional.of(call.refuse(RefusalKind.RANK_LIMITED, detail, FloodLimit.RETRY_AFTER_MS));
    }
}
