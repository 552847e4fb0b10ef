package org.siskintiller.core.model;

import java.util.Objects;

/**
 * Limits of one rank under a preset.
 *
 * @param guaranteedSharePercent share of a backend server's slots that the rank can always use
 * @param queueLimit longest queue of the rank at one backend server, in requests
 * @param deadlineMs deadline of a request that names none
 */
public record RankLimits(String rank, int guaranteedSharePercent, int queueLimit, long deadlineMs) {

    public RankLimits {
        Objects.requireNonNull(rank, "rank");
    }
}
