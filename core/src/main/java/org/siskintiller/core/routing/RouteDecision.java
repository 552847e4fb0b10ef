package org.siskintiller.core.routing;

import java.util.Objects;

import org.siskintiller.core.gate.GateDecision.Refusal;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.SlotId;

/** Routing decision of an ingress companion. The slot is null for a request that needs no owner. */
public sealed interface RouteDecision {

    /** The caller receives an error response. */
    record Refused(Refusal refusal) implements RouteDecision {
        public Refused {
            Objects.requireNonNull(refusal, "refusal");
        }
    }

    /** The request goes to the gate of this companion. */
    record Local(SlotId slot) implements RouteDecision {}

    /** The request is forwarded to another companion. */
    record Remote(Incarnation target, SlotId slot) implements RouteDecision {
        public Remote {
            Objects.requireNonNull(target, "target");
        }
    }
}
