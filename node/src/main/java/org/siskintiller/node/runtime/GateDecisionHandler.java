package org.siskintiller.node.runtime;

import org.siskintiller.core.gate.GateDecision;

/** Carries out decisions of the gate that concern no single request. Must not block. */
interface GateDecisionHandler {

    void handle(GateDecision decision);
}
