package org.siskintiller.core.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Incarnation;

import static com.google.common.truth.Truth.assertThat;

class PowerOfTwoChoicesTest {
    private static final int DRAWS = 10_000;

    private final Balancer balancer = new PowerOfTwoChoices();
    private final Random random = new Random(3);

    /** Guards against companions that all choose a returned backend server because it reports no load. */
    @Test
    void sendsLittleToColdBackendServer() {
        List<Candidate> candidates = candidates(0.5);
        candidates.set(0, new Candidate(new Incarnation(0), 12, 0, 0, 0, WarmUp.FIRST_SHARE, true));
        int cold = draw(candidates, Set.of()).getOrDefault(0L, 0);
        assertThat(cold).isGreaterThan(0);
        assertThat(cold).isLessThan(DRAWS / 6);
    }

    /** Guards against requests to a busy backend server while others are idle. */
    @Test
    void prefersLessLoaded() {
        List<Candidate> candidates = candidates(0.1);
        candidates.set(0, new Candidate(new Incarnation(0), 12, 12, 1, 0, 1, true));
        assertThat(draw(candidates, Set.of())).doesNotContainKey(0L);
    }

    /** Guards against a backend server that failed, is ejected or drains being chosen while others are available. */
    @Test
    void avoidsExcludedAndUnavailable() {
        List<Candidate> candidates = candidates(0.1);
        candidates.set(0, new Candidate(new Incarnation(0), 12, 0, 0, 0, 1, false));
        Map<Long, Integer> drawn = draw(candidates, Set.of(new Incarnation(1)));
        assertThat(drawn.keySet()).containsExactly(2L, 3L, 4L);
        assertThat(balancer.choose(candidates.subList(1, 2), Set.of(new Incarnation(1)), random))
                .isEmpty();
        assertThat(balancer.choose(candidates.subList(0, 1), Set.of(), random)).hasValue(new Incarnation(0));
    }

    private static List<Candidate> candidates(double load) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            candidates.add(new Candidate(new Incarnation(i), 12, 0, load, 0, 1, true));
        }
        return candidates;
    }

    private Map<Long, Integer> draw(List<Candidate> candidates, Set<Incarnation> excluded) {
        Map<Long, Integer> drawn = new HashMap<>();
        for (int i = 0; i < DRAWS; i++) {
            drawn.merge(
                    balancer.choose(candidates, excluded, random).orElseThrow().id(), 1, Integer::sum);
        }
        return drawn;
    }
}
