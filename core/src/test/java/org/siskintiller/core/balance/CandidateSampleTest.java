package org.siskintiller.core.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CandidateSampleTest {
    /** Guards against a small service in which the least loaded backend server is left out. */
    @Test
    void comparesAllOfASmallService() {
        List<DelayEstimate> candidates = candidates(8);

        assertThat(CandidateSample.of(candidates, new Random(1))).containsExactlyElementsIn(candidates);
    }

    /** Load pattern: 91 companions use the same old loads. Guards against all choosing the same backend server. */
    @Test
    void spreadsCompanionsThatSeeTheSameLoads() {
        Map<String, Integer> sent = new HashMap<>();
        for (int companion = 0; companion < 91; companion++) {
            List<DelayEstimate> sample = CandidateSample.of(candidates(31), new Random(companion));
            sent.merge(LeastDelay.choose(sample, Set.of()).orElseThrow(), 1, Integer::sum);
        }

        assertThat(sent.values().stream().mapToInt(Integer::intValue).max().orElseThrow())
                .isAtMost(91 / 2);
        assertThat(sent.size()).isAtLeast(5);
    }

    private static List<DelayEstimate> candidates(int count) {
        List<DelayEstimate> candidates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            BackendLoad load = new BackendLoad(i % 12, 0, 12, 400_000);
            candidates.add(new DelayEstimate("instance-" + i, load, 0, 0, 0));
        }
        return candidates;
    }
}
