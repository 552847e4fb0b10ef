package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests whose caller gives up before one hop could end. */
final class DeadlineRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingCall call) {
        if (call.request().deadlineNs() - call.nowNs() >= Router.MIN_REMAINING_NS) {
            return Optional.empty();
        }
        return Optional.of(call.refuse(RefusalKind.DEADLINE_TOO_SHORT, "too little time is left", 0));
    }
}
