package org.siskintiller.core.balance;

import java.util.Objects;

import org.siskintiller.core.model.Incarnation;

/**
 * Backend server that a request without a key may go to.
 *
 * @param ownInFlight requests that this companion has in flight there
 * @param reportedLoad last reported requests in execution over concurrency
 * @param reportAgeNs age of that report
 * @param warmShare share of its usual requests that it receives while it starts or returns, from 0 to 1
 * @param available false while it is ejected or drains
 */
public record Candidate(
        Incarnation incarnation,
        int concurrency,
        int ownInFlight,
        double reportedLoad,
        long reportAgeNs,
        double warmShare,
        boolean available) {

    public Candidate {
        Objects.requireNonNull(incarnation, "incarnation");
        if (concurrency < 1) {
            throw new IllegalArgumentException("concurrency must be at least 1");
        }
    }
}
