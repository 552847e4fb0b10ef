package org.siskintiller.core.routing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Tries the ingress rules in order. The first decision wins. */
public final class Router {
    /** Least time that a request needs: one hop of 1 ms each way. */
    public static final long MIN_REMAINING_NS = 2_000_000L;
    /** Time after which a slot without an owner is worth another try. */
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
        RoutingCall call = new RoutingCall(request, view, tools, nowNs);
        for (IngressRule rule : RULES) {
            Optional<RouteDecision> decision = rule.decide(call);
            if (decision.isPresent()) {
                return decision.get();
            }
        }
        throw new IllegalStateException("the last rule always decides");
    }
}
