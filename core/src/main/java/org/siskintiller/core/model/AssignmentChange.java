package org.siskintiller.core.model;

import java.util.List;

/** Proposed change of a slot's assignment. It is void unless the slot is at the base version. */
public record AssignmentChange(int slot, long baseVersion, List<Incarnation> candidates) {

    public AssignmentChange {
        candidates = List.copyOf(candidates);
        if (candidates.isEmpty()) {
            throw new IllegalArgumentException("an assignment needs at least one candidate");
        }
    }
}
