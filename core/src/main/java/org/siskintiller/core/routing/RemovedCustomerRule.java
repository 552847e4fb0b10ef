package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests of removed customers. */
final class RemovedCustomerRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingCall call) {
        if (!call.view().removedCustomers().contains(call.request().customer())) {
            return Optional.empty();
        }
        String detail = "customer " + call.request().customer() + " was removed";
        return Optional.of(call.refuse(RefusalKind.CUSTOMER_REMOVED, detail, 0));
    }
}
