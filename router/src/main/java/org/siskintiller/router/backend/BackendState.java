package org.siskintiller.router.backend;

import java.util.Objects;

import org.siskintiller.core.coldstart.ColdStartLimit;
import org.siskintiller.core.evacuation.DomainEvacuation;
import org.siskintiller.core.path.BackendPresence;

/** What decides whether the backend server of this machine may receive requests. */
public record BackendState(BackendPresence presence, DomainEvacuation evacuation, ColdStartLimit cold) {

    public BackendState {
        Objects.requireNonNull(presence, "presence");
        Objects.requireNonNull(evacuation, "evacuation");
        Objects.requireNonNull(cold, "cold");
    }
}
