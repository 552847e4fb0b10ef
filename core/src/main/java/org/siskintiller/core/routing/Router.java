package org.siskintiller.core.routing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Applies the ingress rules in order and returns the first decision. */
public final class Router {
    /** Minimum time that a request needs: one hop of 1 ms in each direction. */
    public static final long MIN_REMAINING_NS = 2_000_000L;
    /** Time after which a caller should retry a request to a slot without an owner. */
    public static final long OWNER_RETRY_MS = 50;

    private static final List<IngressRule> RULES = List.of(
            new UnknownServiceRule(),
            new RemovedCustomerRule(),
            new DeadlineRule(),
            new QuarantineRule(),
            new KeyMissingRule(),
            new FloodLimitRule(),
            new OwnerUnknownRule(),
            new LocalOwnerRule(),
            new RemoteOwnerRule());

    private final RoutingTools tools;

    public Router(RoutingTools tools) {
        this.tools = Objects.requireNonNull(tools, "tools");
    }

    public RouteDecision route(IngressRequest request, RoutingView view, long nowNs) {
        RoutingContext context = new RoutingContext(request, view, tools, nowNs);
        for (IngressRule rule : RULES) {
            Optional<RouteDecision> decision = rule.decide(context);
            if (decision.isPresent()) {
                return decision.get();
            }
        }
        throw new IllegalStateException("the last rule always decides");
    }
}
