package org.siskintiller.core.model;

import java.util.Objects;

/** Service, address and capacity that a backend server announced to its companion. */
public record BackendServer(String service, Address address, int concurrency, int connections) {

    public BackendServer {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        if (concurrency < 1 || connections < 1) {
            throw new IllegalArgumentException("concurrency and connections must be at least 1");
        }
    }
}
