package org.siskintiller.core.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the backend server with the shortest expected delay. Backend servers of one service differ in speed, so equal
 * request counts would overload the slow ones while the fast ones idle. {@link PowerOfTwoChoices} compares load only
 * and needs no service times.
 */
public final class LeastDelay {
    private LeastDelay() {}

    public static Optional<String> choose(List<DelayEstimate> candidates, Set<String> excluded) {
        DelayEstimate best = null;
        for (DelayEstimate candidate : candidates) {
            if (excluded.contains(candidate.instance())) {
                continue;
            }
            if (best == null || candidate.delayNs() < best.delayNs()) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best).map(DelayEstimate::instance);
    }
}
