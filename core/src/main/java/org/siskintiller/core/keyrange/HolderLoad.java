package org.siskintiller.core.keyrange;

import java.util.Objects;

/**
 * Capacity and load of a backend server of a keyed service.
 *
 * @param capacity requests a second that it can serve
 * @param rate requests a second that arrive for its keys
 */
public record HolderLoad(KeyTable.Holder holder, double capacity, double rate) {

    public HolderLoad {
        Objects.requireNonNull(holder, "holder");
        if (!(capacity > 0) || !(rate >= 0)) {
            throw new IllegalArgumentException("capacity must be positive and the rate not negative");
        }
    }

    String instance() {
        return holder.instance();
    }
}
