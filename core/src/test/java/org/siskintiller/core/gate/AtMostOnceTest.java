package org.siskintiller.core.gate;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class AtMostOnceTest {
    private static final int SEEDS = 40;
    private static final long DURATION_MS = 15_000;

    /** Guards against a request that runs twice and a wrong "not-run" under crashes, moves and lost responses. */
    @Test
    void holdsUnderRandomSchedules() {
        Map<String, Integer> counts = new HashMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            RecordSimulation simulation = new RecordSimulation(seed, true);
            try {
                simulation.run(DURATION_MS);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            simulation.counts.forEach((counter, count) -> counts.merge(counter, count, Integer::sum));
        }
        // The checks above are only meaningful if the schedules reach every mechanism.
        assertThat(counts.keySet())
                .containsAtLeast(
                        "runs",
                        "replays",
                        "takeovers after a crash",
                        "takeovers after a pause",
                        "new standbys",
                        "double losses",
                        "moves",
                        "stream reads",
                        "log appends",
                        "synchronisations",
                        "copies",
                        "OUTCOME_UNKNOWN",
                        "disconnected callers");

        assertThat(counts.get("runs soon after a takeover")).isGreaterThan(SEEDS);
        assertThat(counts.get("runs")).isGreaterThan(SEEDS * 500);
    }

    /** Guards against a check that cannot fail: without a second copy of the records a takeover runs requests again. */
    @Test
    void failsWithoutSecondCopy() {
        int violations = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            try {
                new RecordSimulation(2L * seed, false).run(DURATION_MS);
            } catch (AssertionError e) {
                assertWithMessage("seed " + seed).that(e).hasMessageThat().contains("AT_MOST_ONCE");
                violations++;
            }
        }
        assertThat(violations).isGreaterThan(0);
    }
}
