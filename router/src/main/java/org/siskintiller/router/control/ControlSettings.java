package org.siskintiller.router.control;

import java.util.Objects;

import org.siskintiller.core.model.Incarnation;

/**
 * Identity of this companion.
 *
 * @param incarnation random id of this process
 */
public record ControlSettings(Member self, Incarnation incarnation) {

    public ControlSettings {
        Objects.requireNonNull(self, "self");
    }
}
