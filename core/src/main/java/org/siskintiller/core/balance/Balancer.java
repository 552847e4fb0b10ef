package org.siskintiller.core.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.siskintiller.core.model.Incarnation;

/** Chooses a backend server for a request that has no owner. */
public interface Balancer {

    /** Returns the chosen backend server, or empty if every candidate is excluded. */
    Optional<Incarnation> choose(List<Candidate> candidates, Set<Incarnation> excluded, RandomGenerator random);
}
