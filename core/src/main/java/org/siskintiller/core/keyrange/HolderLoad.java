package org.siskintiller.core.keyrange;

import java.util.Objects;

/**
 * Backend server of a keyed service as the planner sees it.
 *
 * @param capacity requests a second that it can serve
 */
public record HolderLoad(KeyTable.Holder holder, double capacity) {

    public HolderLoad {
        Objects.requireNonNull(holder, "holder");
        if (!(capacity > 0)) {
            throw new IllegalArgumentException("capacity must be positive");
        }
    }
}
