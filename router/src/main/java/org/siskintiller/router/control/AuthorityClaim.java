package org.siskintiller.router.control;

import java.util.Objects;

import org.siskintiller.core.model.Incarnation;

/** Record that names the lease authority of a term, or records its resignation. */
public record AuthorityClaim(String instance, Incarnation incarnation, long term, boolean resigned) {
    public static final AuthorityClaim NONE = new AuthorityClaim("", new Incarnation(0), 0, true);

    public AuthorityClaim {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(incarnation, "incarnation");
    }
}
