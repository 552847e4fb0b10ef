package org.siskintiller.core.placement;

import org.siskintiller.core.model.Incarnation;

/**
 * Session that may own slots, with its weight.
 *
 * @param weight share of the service's load that it should carry, relative to the other members
 * @param joining whether it joined recently; while any member does, slots move only to joining members
 */
record Member(Incarnation incarnation, String failureDomain, double weight, boolean joining) {

    Member {
        if (weight <= 0) {
            throw new IllegalArgumentException("weight " + weight + " is not positive");
        }
    }
}
