package org.siskintiller.core.model;

import java.util.Objects;

/** IP number and port. */
public record Address(String host, int port) {

    public Address {
        Objects.requireNonNull(host, "host");
        if (port < 0 || port > 65535) {
            throw new IllegalArgumentException("port " + port + " is outside 0-65535");
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
