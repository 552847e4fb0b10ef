package org.siskintiller.node.runtime;

import org.siskintiller.core.gate.GateDecision;

/** Executes those decisions of the gate that do not concern a single request. Must not block. */
interface GateDecisionHandler {

    void handle(GateDecision decision);
}
