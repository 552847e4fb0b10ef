package org.siskintiller.core.model;

import java.util.Objects;

/**
 * Limits of one rank under a preset.
 *
 * @param guaranteedSharePercent share of a backend server's slots that the rank can always use
 * @param queueLimit maximum queue length of the rank at one backend server, in requests
 * @param deadlineMs default deadline, for requests without one
 */
public record RankLimits(String rank, int guaranteedSharePercent, int queueLimit, long deadlineMs) {

    public RankLimits {
        Objects.requireNonNull(rank, "rank");
    }
}
