package org.siskintiller.core.model;

import java.util.Objects;

/** Published settings of a customer. The weight divides a rank's capacity between customers. */
public record CustomerConfig(String name, int weight) {

    public CustomerConfig {
        Objects.requireNonNull(name, "name");
    }
}
