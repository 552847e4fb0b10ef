package org.siskintiller.core.routing;

import org.siskintiller.core.gate.GateDecision.Refusal;
import org.siskintiller.core.gate.RefusalKind;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.ServiceConfig;
import org.siskintiller.core.model.SlotId;

/** Request and data that the rules evaluate. Slot and target are computed once, when a rule first needs them. */
final class RoutingContext {
    private final IngressRequest request;
    private final RoutingView view;
    private final RoutingTools tools;
    private final long nowNs;
    private boolean resolved;
    private SlotId slot;
    private Incarnation target;

    RoutingContext(IngressRequest request, RoutingView view, RoutingTools tools, long nowNs) {
        this.request = request;
        this.view = view;
        this.tools = tools;
        this.nowNs = nowNs;
    }

    IngressRequest request() {
        return request;
    }

    RoutingView view() {
        return view;
    }

    RoutingTools tools() {
        return tools;
    }

    long nowNs() {
        return nowNs;
    }

    /** Returns the routing data of the service, or null if it is unknown. */
    ServiceView service() {
        return view.services().get(request.service());
    }

    /** Returns the slot of the request, or null if it needs no owner. */
    SlotId slot() {
        resolve();
        return slot;
    }

    /** Returns the owner or the chosen backend server, or null if the request must not be sent to any. */
    Incarnation target() {
        resolve();
        return target;
    }

    RouteDecision refuse(RefusalKind kind, String detail, long retryAfterMs) {
        return new RouteDecision.Refused(new Refusal(kind, detail, retryAfterMs));
    }

    private void resolve() {
        if (resolved) {
            return;
        }
        resolved = true;
        ServiceView service = service();
        ServiceConfig config = service.config();
        String slotKey = config.keyed() ? request.key() : config.idempotent() ? null : request.idempotencyKey();
        if (slotKey == null) {
            target = config.keyed()
                    ? null
                    : tools.balancer()
                            .choose(service.candidates(), request.excluded(), tools.random())
                            .orElse(null);
            return;
        }
        int number = tools.slots().slotOf(config.name(), slotKey, config.slots());
        slot = new SlotId(config.name(), number);
        Incarnation hotKeyOwner = config.keyed() ? service.hotKeyOwners().get(slotKey) : null;
        Incarnation owner = hotKeyOwner == null ? service.owners().get(number) : hotKeyOwner;
        target = owner == null || request.excluded().contains(owner) ? null : owner;
    }
}
