package org.siskintiller.core.model;

import java.util.Objects;

/**
 * Published settings of a rank of work.
 *
 * @param order 0 is the most urgent rank
 * @param targetMs target for the 99th percentile of latency
 */
public record RankConfig(String name, int order, long targetMs) {

    public RankConfig {
        Objects.requireNonNull(name, "name");
    }
}
