package org.siskintiller.node.operator;

import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** State of the companion that the operator pages show. */
public interface CompanionView {

    /** Returns sessions, versions in force, applied offset, lease and owned slots. */
    ObjectNode status();

    /** Returns slot, owner and candidates of a key; empty for an unknown service. */
    Optional<ObjectNode> owner(String service, String key);

    /** Returns whether the companion holds its session lease. */
    boolean isHealthy();
}
