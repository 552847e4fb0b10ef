package org.siskintiller.node.request;

import java.util.Objects;

/** Header field of a request or response. */
public record Header(String name, String value) {

    public Header {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }
}
