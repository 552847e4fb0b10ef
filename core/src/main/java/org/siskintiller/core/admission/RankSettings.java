package org.siskintiller.core.admission;

import java.util.Objects;

/**
 * Settings of a rank at one backend server under the preset in force.
 *
 * @param order 0 is the most urgent rank
 * @param share guaranteed share of the concurrency slots, from 0 to 1
 * @param queueLimit maximum queue length in requests
 */
public record RankSettings(String name, int order, double share, int queueLimit) {

    public RankSettings {
        Objects.requireNonNull(name, "name");
        if (share < 0 || share > 1 || queueLimit < 0) {
            throw new IllegalArgumentException("share must be from 0 to 1 and the queue limit must not be negative");
        }
    }
}
