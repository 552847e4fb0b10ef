package org.siskintiller.core.gate;

import java.util.Set;

import org.siskintiller.core.model.Incarnation;

/** Companions whose backend server was lost while it ran a request with this fingerprint. */
public record Suspicion(long fingerprint, Set<Incarnation> lostAt) {

    public Suspicion {
        lostAt = Set.copyOf(lostAt);
    }
}
