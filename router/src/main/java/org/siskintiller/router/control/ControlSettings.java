package org.siskintiller.router.control;

import java.util.Objects;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.router.peer.PeerIdentity;

/**
 * Identity of this companion.
 *
 * @param incarnation random id of this process
 */
public record ControlSettings(Member self, Incarnation incarnation) {

    public ControlSettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /** Identity towards other companions. */
    public PeerIdentity identity() {
        return new PeerIdentity(self.instance(), incarnation);
    }
}
