package org.siskintiller.node.operator;

import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** What operators may see of the companion. */
public interface CompanionView {

    /** Sessions, versions in force, applied offset, lease and owned slots. */
    ObjectNode status();

    /** Slot, owner and candidates of a key; empty for an unknown service. */
    Optional<ObjectNode> owner(String service, String key);

    /** Whether the companion holds its session lease. */
    boolean isHealthy();
}
