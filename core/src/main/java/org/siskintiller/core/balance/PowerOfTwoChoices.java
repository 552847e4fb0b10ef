package org.siskintiller.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.siskintiller.core.model.Incarnation;

/**
 * Chooses the less loaded of two random candidates. A candidate that starts or returns is drawn less often, so that
 * it receives no more than its warm share from any number of companions, although its load is low.
 */
public final class PowerOfTwoChoices implements Balancer {
    /** Age at which a load report no longer counts. */
    private static final double REPORT_LIFETIME_NS = 2e9;
    /** Maximum number of draws for one candidate. The last one is used even if it is cold. */
    private static final int MAX_DRAWS = 8;

    @Override
    public Optional<Incarnation> choose(List<Candidate> candidates, Set<Incarnation> excluded, RandomGenerator random) {
        List<Candidate> eligible = new ArrayList<>(candidates.size());
        List<Candidate> unavailable = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (!excluded.contains(candidate.incarnation())) {
                (candidate.available() ? eligible : unavailable).add(candidate);
            }
        }
        // Without an available candidate an ejected one is used, since ejections may be wrong.
        List<Candidate> pool = eligible.isEmpty() ? unavailable : eligible;
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        int first = draw(pool, -1, random);
        if (pool.size() == 1) {
            return Optional.of(pool.get(first).incarnation());
        }
        int second = draw(pool, first, random);
        Candidate chosen = score(pool.get(second)) < score(pool.get(first)) ? pool.get(second) : pool.get(first);
        return Optional.of(chosen.incarnation());
    }

    private static int draw(List<Candidate> pool, int other, RandomGenerator random) {
        int drawn = other;
        for (int draws = 0; draws < MAX_DRAWS; draws++) {
            int range = other < 0 ? pool.size() : pool.size() - 1;
            drawn = random.nextInt(range);
            if (other >= 0 && drawn >= other) {
                drawn++;
            }
            if (random.nextDouble() < pool.get(drawn).warmShare()) {
                return drawn;
            }
        }
        return drawn;
    }

    private static double score(Candidate candidate) {
        double freshness = Math.max(0, 1 - candidate.reportAgeNs() / REPORT_LIFETIME_NS);
        double ownLoad = (double) candidate.ownInFlight() / candidate.concurrency();
        return ownLoad + freshness * candidate.reportedLoad();
    }
}
