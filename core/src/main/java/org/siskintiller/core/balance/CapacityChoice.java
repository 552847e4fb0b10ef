package org.siskintiller.core.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses a backend server in a large fleet. Load pattern: 66 companions that share 22 servers of different speed, and
 * whose load reports are up to 4 s old, so that all of them would choose the same servers by {@link LeastDelay} until the
 * next reports.
 *
 * <p>Servers are drawn at random in proportion to their target load. Targets depend on the load of all servers together,
 * which changes slowly and does not depend on who chooses which server. The fastest servers are filled to a moderate
 * occupancy first. Above that, all servers have the same occupancy. A second server is drawn and preferred when it is
 * known to be further below its target.
 */
public final class CapacityChoice {
    /**
     * Occupancy up to which fast servers are preferred. If it is higher, more requests find full servers while slow ones
     * are free; if it is lower, more of them take the slow servers.
     */
    private static final double PREFERRED_OCCUPANCY = 0.5;
    /** Minimum target, so that every server reports its load from time to time. */
    private static final double MIN_TARGET = 0.02;
    /** Difference of occupancies above which the second server is preferred. Smaller ones are noise of old reports. */
    private static final double MIN_DIFFERENCE = 0.25;

    private CapacityChoice() {}

    public static Optional<DelayEstimate> choose(List<DelayEstimate> candidates, RandomGenerator random) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Double> targets = targets(candidates);
        List<DelayEstimate> remaining = new ArrayList<>(candidates);
        DelayEstimate first = draw(remaining, targets, random);
        remaining.remove(first);
        if (remaining.isEmpty()) {
            return Optional.of(first);
        }
        DelayEstimate second = draw(remaining, targets, random);
        double difference = aboveTarget(first, targets) - aboveTarget(second, targets);
        return Optional.of(difference > MIN_DIFFERENCE ? second : first);
    }

    /** Returns the occupancy that each server should have. */
    private static Map<String, Double> targets(List<DelayEstimate> candidates) {
        double busy = 0;
        double capacity = 0;
        for (DelayEstimate candidate : candidates) {
            busy += candidate.load().busyPerSecond();
            capacity += candidate.load().capacityPerSecond();
        }
        double limit = Math.max(PREFERRED_OCCUPANCY, busy / capacity);
        List<DelayEstimate> fastestFirst = new ArrayList<>(candidates);
        fastestFirst.sort(
                Comparator.comparingDouble(candidate -> candidate.load().serviceNs() + candidate.pathCostNs()));
        Map<String, Double> targets = new HashMap<>();
        double remaining = busy;
        for (DelayEstimate candidate : fastestFirst) {
            double ofServer = candidate.load().capacityPerSecond();
            double target = Math.min(limit, Math.max(MIN_TARGET, remaining / ofServer));
            remaining -= target * ofServer;
            targets.put(candidate.instance(), target);
        }
        return targets;
    }

    private static DelayEstimate draw(
            List<DelayEstimate> candidates, Map<String, Double> targets, RandomGenerator random) {
        double sum = 0;
        for (DelayEstimate candidate : candidates) {
            sum += weight(candidate, targets);
        }
        double drawn = random.nextDouble() * sum;
        for (DelayEstimate candidate : candidates) {
            drawn -= weight(candidate, targets);
            if (drawn < 0) {
                return candidate;
            }
        }
        return candidates.get(candidates.size() - 1);
    }

    private static double weight(DelayEstimate candidate, Map<String, Double> targets) {
        // A server that rejects requests reports a low load. The square keeps most requests away from it.
        double failureCost = 1 + DelayEstimate.FAILURE_COST_SERVICE_TIMES * candidate.failureRate();
        return candidate.load().capacityPerSecond() * targets.get(candidate.instance()) / (failureCost * failureCost);
    }

    private static double aboveTarget(DelayEstimate candidate, Map<String, Double> targets) {
        return candidate.load().occupancy() - targets.get(candidate.instance());
    }
}
