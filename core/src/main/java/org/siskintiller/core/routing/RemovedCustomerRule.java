package org.siskintiller.core.routing;

import java.util.Optional;

import org.siskintiller.core.gate.RefusalKind;

/** Refuses requests of removed customers. */
final class RemovedCustomerRule implements IngressRule {

    @Override
    public Optional<RouteDecision> decide(RoutingContext context) {
        if (!context.view().removedCustomers().contains(context.request().customer())) {
            return Optional.empty();
        }
        String detail = "customer " + context.request().customer() + " was removed";
        return Optional.of(context.refuse(RefusalKind.CUSTOMER_REMOVED, detail, 0));
    }
}
