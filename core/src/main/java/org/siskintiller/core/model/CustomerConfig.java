package org.siskintiller.core.model;

import java.util.Objects;

/** Published settings of a customer. Customers share a rank's capacity in proportion to their weights. */
public record CustomerConfig(String name, int weight) {

    public CustomerConfig {
        Objects.requireNonNull(name, "name");
    }
}
