package org.siskintiller.core.path;

import java.util.Objects;

/**
 * Service as the operator configures it.
 *
 * @param maxConnections maximum number of connections that one of its backend servers accepts
 * @param keyed whether requests carry a key that the backend server must hold
 * @param coldStartS time in s for which one of its backend servers is cold after its start; 0 if it is not stated
 * @param coldPerS requests a second that a cold one can serve; 0 if cold ones are not limited
 */
public record ServiceSpec(String name, int maxConnections, boolean keyed, double coldStartS, double coldPerS) {

    public ServiceSpec {
        Objects.requireNonNull(name, "name");
        if (!(coldStartS >= 0) || !(coldPerS >= 0)) {
            throw new IllegalArgumentException("cold limits of service " + name + " must not be negative");
        }
    }
}
