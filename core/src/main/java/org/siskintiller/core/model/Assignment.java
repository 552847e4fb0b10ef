package org.siskintiller.core.model;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Assignment of a slot or hot key.
 *
 * @param version increases by one with each accepted change
 * @param candidates owner first, then standbys in the order in which they take over
 * @param predecessors candidates of earlier versions that may still serve; each must release or end before activation
 * @param activatedBy session that last reported activation of this version, or null
 */
public record Assignment(
        long version, List<Incarnation> candidates, Set<Incarnation> predecessors, Incarnation activatedBy) {
    public static final Assignment NONE = new Assignment(0, List.of(), Set.of(), null);

    public Assignment {
        Objects.requireNonNull(candidates, "candidates");
        candidates = List.copyOf(candidates);
        predecessors = Set.copyOf(predecessors);
    }

    public boolean isCandidate(Incarnation incarnation) {
        return candidates.contains(incarnation);
    }
}
