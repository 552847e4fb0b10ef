package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests that crashed two backend servers. */
final class QuarantineRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingCall call) {
        if (!call.tools().quarantine().isRefused(call.request().fingerprint(), call.nowNs())) {
            return Optional.empty();
        }
        return Optional.of(call.refuse(RefusalKind.QUARANTINED, "two backend servers were lost while they ran it", 0));
    }
}
