package org.siskintiller.core.model;

import java.util.Objects;

/**
 * Published settings of a rank of work.
 *
 * @param order 0 is the most urgent rank
 * @param targetMs latency target for 99 in 100 requests
 */
public record RankConfig(String name, int order, long targetMs) {

    public RankConfig {
        Objects.requireNonNull(name, "name");
    }
}
