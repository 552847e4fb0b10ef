package org.siskintiller.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Picks some candidates of a large service at random. Loads are some seconds old there, so that all companions would
 * send to the same least loaded backend server if they compared all of them.
 */
public final class CandidateSample {
    /** Candidates that are compared. All are in a small service, where loads are fresh. */
    private static final int MOST_COMPARED = 8;

    private CandidateSample() {}

    public static List<DelayEstimate> of(List<DelayEstimate> candidates, RandomGenerator random) {
        if (candidates.size() <= MOST_COMPARED) {
            return candidates;
        }
        List<DelayEstimate> left = new ArrayList<>(candidates);
        List<DelayEstimate> sample = new ArrayList<>();
        while (sample.size() < MOST_COMPARED) {
            sample.add(left.remove(random.nextInt(left.size())));
        }
        return sample;
    }
}
