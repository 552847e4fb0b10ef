package org.siskintiller.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.siskintiller.core.model.Incarnation;

/**
 * Takes the less loaded of two random candidates. A candidate that starts or returns is drawn less often, so that its
 * low load attracts no more than its warm share from any number of companions.
 */
public final class PowerOfTwoChoices implements Balancer {
    /** Age at which a load report no longer counts. */
    private static final double REPORT_LIFETIME_NS = 2e9;
    /** Draws of one candidate before a cold one is taken after all. */
    private static final int MAX_DRAWS = 8;

    @Override
    public Optional<Incarnation> choose(List<Candidate> candidates, Set<Incarnation> excluded, RandomGenerator random) {
        List<Candidate> eligible = new ArrayList<>(candidates.size());
        List<Candidate> rest = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (!excluded.contains(candidate.incarnation())) {
                (candidate.available() ? eligible : rest).add(candidate);
            }
        }
        // With no available candidate an ejected one is tried, since ejections may be wrong.
        List<Candidate> from = eligible.isEmpty() ? rest : eligible;
        if (from.isEmpty()) {
            return Optional.empty();
        }
        int first = draw(from, -1, random);
        if (from.size() == 1) {
            return Optional.of(from.get(first).incarnation());
        }
        int second = draw(from, first, random);
        Candidate chosen = score(from.get(second)) < score(from.get(first)) ? from.get(second) : from.get(first);
        return Optional.of(chosen.incarnation());
    }

    private static int draw(List<Candidate> from, int other, RandomGenerator random) {
        int drawn = other;
        for (int draws = 0; draws < MAX_DRAWS; draws++) {
            int range = other < 0 ? from.size() : from.size() - 1;
            drawn = random.nextInt(range);
            if (other >= 0 && drawn >= other) {
                drawn++;
            }
            if (random.nextDouble() < from.get(drawn).warmShare()) {
                return drawn;
            }
        }
        return drawn;
    }

    private static double score(Candidate candidate) {
        double freshness = Math.max(0, 1 - candidate.reportAgeNs() / REPORT_LIFETIME_NS);
        double own = (double) candidate.ownInFlight() / candidate.concurrency();
        return own + freshness * candidate.reportedLoad();
    }
}
