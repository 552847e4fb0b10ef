package org.siskintiller.core.gate;

import java.util.Set;

import org.siskintiller.core.model.Incarnation;

/**
 * Losses of backend servers while they ran a request with this fingerprint.
 *
 * @param lostAt backend servers that were lost
 * @param cleared backend servers whose loss had another cause, since the request has completed since
 */
public record Suspicion(long fingerprint, Set<Incarnation> lostAt, Set<Incarnation> cleared) {

    public Suspicion {
        lostAt = Set.copyOf(lostAt);
        cleared = Set.copyOf(cleared);
    }

    public Suspicion(long fingerprint, Set<Incarnation> lostAt) {
        this(fingerprint, lostAt, Set.of());
    }
}
