package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests that are quarantined because two backend servers were lost while they ran them. */
final class QuarantineRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingContext context) {
        if (!context.tools().quarantine().isRefused(context.request().fingerprint(), context.nowNs())) {
            return Optional.empty();
        }
        return Optional.of(
                context.refuse(RefusalKind.QUARANTINED, "two backend servers were lost while they ran it", 0));
    }
}
