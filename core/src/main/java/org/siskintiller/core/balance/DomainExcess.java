package org.siskintiller.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Decides which share of the requests of one service and kind leaves the failure domain, and to which domain. Load
 * pattern: waves of 55% that reach the domains one after the other, a domain with one server or none, and load reports
 * that are some seconds old, by which the domains would send their requests to each other in turn.
 *
 * <p>The share rises at once when this companion's own requests are refused or reach a queue that is too long, and in
 * steps by the reports of the servers. It falls in steps. It stays 0 while the servers of the domain can meet the
 * objective, while the wait that would be saved is below the cost of the hop, and while no other domain has spare capacity.
 */
public final class DomainExcess {
    /** Why a request goes to a domain. */
    public enum Cause {
        /** It stays in its own domain. */
        OWN,
        /** The domain has no available server. */
        NO_SERVER,
        /** The domain has more requests than its servers can serve in time. */
        EXCESS,
        /** Servers of the domain have not served it, and the domain has no spare capacity or two of them were tried. */
        REFUSED
    }

    /**
     * What a request needs.
     *
     * @param objectiveNs time until its response loses value
     * @param hopCostNs cost of leaving the domain as a time: round trip and bytes
     */
    public record Needs(long objectiveNs, long hopCostNs) {}

    /** Target of one request. */
    public record Decision(Domain domain, Cause cause) {}

    /**
     * Mean waits that must fit between the service time and the objective: 1% of exponentially distributed waits are
     * 4.6 times as long as their mean.
     */
    private static final double WAITS_PER_OBJECTIVE = 4.6;
    /** Part of the requests that stay by which the share rises when one of them is refused or queued too long. */
    private static final double OBSERVED_RISE = 0.1;
    /** Change of the share in one step. Falling from 1 to 0 takes 10 s, several status intervals of a large fleet. */
    private static final double STEP = 0.05;

    private static final long STEP_INTERVAL_NS = 500_000_000;
    /** Part of a domain's capacity that others assume as spare when their own domain has no servers. */
    private static final double MIN_SPARE_SHARE = 0.02;

    private double share;
    private long lastStepNs;
    private boolean hasStepped;

    /** Share of the requests that leave the domain at present, from 0 to 1. */
    public double share() {
        return share;
    }

    /** Whether a queue with the given wait makes requests late that another domain would serve in time. */
    public static boolean isTooLong(double waitNs, Domain own, List<Domain> others, Needs needs) {
        double limitNs = (needs.objectiveNs() - own.serviceNs()) / WAITS_PER_OBJECTIVE;
        return waitNs > limitNs && waitNs > bestWaitNs(others) + needs.hopCostNs();
    }

    /** Counts a request of this companion that its domain refused or queued for too long. */
    public void observedExcess() {
        share += (1 - share) * OBSERVED_RISE;
    }

    /**
     * Decides for one request.
     *
     * @param own available servers of the own domain to which the request was not sent yet
     * @param others the other domains with available servers
     * @param tried servers of the own domain that have not served the request, which may be the fault of one server
     */
    public Decision decide(
            Domain own, List<Domain> others, int tried, Needs needs, long nowNs, RandomGenerator random) {
        Objects.requireNonNull(own, "own");
        if (others.isEmpty()) {
            return new Decision(own, Cause.OWN);
        }
        if (own.servers().isEmpty()) {
            return new Decision(draw(others, true, random), tried > 0 ? Cause.REFUSED : Cause.NO_SERVER);
        }
        boolean hasSpare = others.stream().anyMatch(domain -> domain.sparePerSecond() > 0);
        step(hasSpare && isTooLong(own.waitNs(), own, others, needs), nowNs);
        if (!hasSpare) {
            return new Decision(own, Cause.OWN);
        }
        if (tried > 1 || tried == 1 && own.sparePerSecond() == 0) {
            observedExcess();
            return new Decision(draw(others, false, random), Cause.REFUSED);
        }
        if (share > 0 && random.nextDouble() < share) {
            return new Decision(draw(others, false, random), Cause.EXCESS);
        }
        return new Decision(own, Cause.OWN);
    }

    private void step(boolean rises, long nowNs) {
        if (!hasStepped) {
            hasStepped = true;
            lastStepNs = nowNs;
            return;
        }
        long steps = (nowNs - lastStepNs) / STEP_INTERVAL_NS;
        if (steps < 1) {
            return;
        }
        lastStepNs = nowNs;
        // After a time without requests the share may fall by several steps, but a rise needs new evidence for each.
        double change = rises ? STEP : -STEP * steps;
        share = Math.max(0, Math.min(1, share + change));
    }

    private static double bestWaitNs(List<Domain> domains) {
        return domains.stream().mapToDouble(Domain::waitNs).min().orElse(Double.MAX_VALUE);
    }

    /** Draws a domain in proportion to the spare capacities. */
    private static Domain draw(List<Domain> domains, boolean withoutSpare, RandomGenerator random) {
        List<Double> weights = new ArrayList<>();
        double sum = 0;
        for (Domain domain : domains) {
            double minimum = withoutSpare ? MIN_SPARE_SHARE * domain.capacityPerSecond() : 0;
            double weight = Math.max(minimum, domain.sparePerSecond());
            weights.add(weight);
            sum += weight;
        }
        double drawn = random.nextDouble() * sum;
        for (int i = 0; i < domains.size(); i++) {
            drawn -= weights.get(i);
            if (drawn < 0) {
                return domains.get(i);
            }
        }
        return domains.get(domains.size() - 1);
    }
}
