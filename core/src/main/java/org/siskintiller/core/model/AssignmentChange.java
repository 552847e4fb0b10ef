package org.siskintiller.core.model;

import java.util.List;

/** Proposed change of a slot's assignment. It is void if the slot is at another version than the base version. */
public record AssignmentChange(int slot, long baseVersion, List<Incarnation> candidates) {

    public AssignmentChange {
        candidates = List.copyOf(candidates);
        if (candidates.isEmpty()) {
            throw new IllegalArgumentException("an assignment needs at least one candidate");
        }
    }
}
