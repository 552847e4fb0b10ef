package org.siskintiller.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects random candidates of a large service. Reported loads are some seconds old in a large service, so that all
 * companions would send to the same least loaded backend server if each of them compared all candidates.
 */
public final class CandidateSample {
    /** Maximum number of candidates to compare. A small service, where loads are recent, is compared as a whole. */
    private static final int MAX_SAMPLE_SIZE = 8;

    private CandidateSample() {}

    public static List<DelayEstimate> of(List<DelayEstimate> candidates, RandomGenerator random) {
        if (candidates.size() <= MAX_SAMPLE_SIZE) {
            return candidates;
        }
        List<DelayEstimate> remaining = new ArrayList<>(candidates);
        List<DelayEstimate> sample = new ArrayList<>();
        while (sample.size() < MAX_SAMPLE_SIZE) {
            sample.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return sample;
    }
}
