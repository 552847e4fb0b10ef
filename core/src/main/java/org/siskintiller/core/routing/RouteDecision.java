package org.siskintiller.core.routing;

import java.util.Objects;

import org.siskintiller.core.gate.GateDecision.Refusal;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.SlotId;

/** Where an ingress companion sends a request. The slot is null for a request that needs no owner. */
public sealed interface RouteDecision {

    /** Answers the caller with an error. */
    record Refused(Refusal refusal) implements RouteDecision {
        public Refused {
            Objects.requireNonNull(refusal, "refusal");
        }
    }

    /** The gate of this companion decides. */
    record Local(SlotId slot) implements RouteDecision {}

    /** One hop to another companion. */
    record Remote(Incarnation target, SlotId slot) implements RouteDecision {
        public Remote {
            Objects.requireNonNull(target, "target");
        }
    }
}
