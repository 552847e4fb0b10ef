package org.siskintiller.core.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses backend servers for the requests of one service and kind in a large fleet: first the failure domain by
 * {@link DomainExcess}, then a server of this domain by {@link CapacityChoice}.
 */
public final class ServerChoice {
    private final DomainExcess excess = new DomainExcess();

    /** Chosen server, and why the request goes to its domain. */
    public record Choice(String instance, DomainExcess.Cause cause) {}

    /** Share of the requests that leave the domain at present, from 0 to 1. */
    public double share() {
        return excess.share();
    }

    /**
     * Chooses a server, or none when the request was sent to all of them.
     *
     * @param excluded instances that the request was sent to
     */
    public Optional<Choice> choose(
            Domain own,
            List<Domain> others,
            Set<String> excluded,
            DomainExcess.Needs needs,
            long nowNs,
            RandomGenerator random) {
        Domain untried = own.without(excluded);
        List<Domain> untriedOthers = new ArrayList<>();
        for (Domain domain : others) {
            Domain remaining = domain.without(excluded);
            if (!remaining.servers().isEmpty()) {
                untriedOthers.add(remaining);
            }
        }
        int tried = own.servers().size() - untried.servers().size();
        DomainExcess.Decision decision = excess.decide(untried, untriedOthers, tried, needs, nowNs, random);
        Optional<DelayEstimate> chosen = CapacityChoice.choose(decision.domain().servers(), random);
        boolean queues = decision.cause() == DomainExcess.Cause.OWN
                && chosen.filter(server -> server.load().isRecent()
                                && DomainExcess.isTooLong(server.load().waitNs(), untried, untriedOthers, needs))
                        .isPresent();
        if (queues) {
            excess.observedExcess();
        }
        return chosen.map(server -> new Choice(server.instance(), decision.cause()));
    }
}
