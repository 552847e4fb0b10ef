package org.siskintiller.core.path;

import java.util.Objects;

/**
 * Service as the operator configures it.
 *
 * @param maxConnections maximum number of connections that one of its backend servers accepts
 * @param keyed whether requests carry a key that the backend server must hold
 */
public record ServiceSpec(String name, int maxConnections, boolean keyed) {

    public ServiceSpec {
        Objects.requireNonNull(name, "name");
    }
}
