package org.siskintiller.core.gate;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class FloodTest {
    /** Minimum share of its baseline service that another rank keeps during a flood. */
    private static final double MIN_KEPT_SHARE = 0.95;

    private static final double FLOOD_PER_SECOND = 10 * FloodSimulation.CAPACITY_PER_SECOND;
    private static final long DURATION_MS = 8_000;
    private static final List<String> RANKS = List.of("urgent", "normal", "bulk");
    private static final Map<String, Long> DEADLINES_MS = Map.of("urgent", 150L, "normal", 500L, "bulk", 2_000L);
    /** Load of each rank as a share of the capacity, within the guaranteed shares of 30, 40 and 30%. */
    private static final Map<String, Double> LOADS = Map.of("urgent", 0.25, "normal", 0.33, "bulk", 0.25);

    /** Guards against a flood in one rank that takes slots within the guaranteed shares of the other ranks. */
    @ParameterizedTest
    @CsvSource({
        "urgent, 1",
        "normal, 1",
        "bulk, 1",
        "urgent, 5",
        "normal, 5",
        "bulk, 5",
    })
    void otherRanksKeepTheirService(String flooding, double serviceFactor) {
        FloodSimulation baseline = simulation(1, flooding, 1);
        baseline.run(DURATION_MS);
        FloodSimulation flooded = simulation(1, flooding, serviceFactor);
        flooded.addLoad(flooding, "loud", FLOOD_PER_SECOND, DEADLINES_MS.get(flooding));
        flooded.run(DURATION_MS);
        for (String rank : RANKS) {
            if (!rank.equals(flooding)) {
                assertWithMessage("served requests of rank " + rank)
                        .that((double) flooded.served(rank, "small"))
                        .isAtLeast(MIN_KEPT_SHARE * baseline.served(rank, "small"));
            }
        }
        assertWithMessage("99th percentile of the urgent rank in ms")
                .that(flooded.p99Ms("urgent", "small"))
                .isAtMost(FloodSimulation.URGENT_TARGET_MS);
    }

    /** Guards against a customer with a flood of requests that takes the share of another one in the same rank. */
    @Test
    void customersOfTheFloodedRankKeepTheirShare() {
        FloodSimulation baseline = simulation(2, "", 1);
        baseline.run(DURATION_MS);
        FloodSimulation flooded = simulation(2, "", 1);
        flooded.addLoad("normal", "loud", FLOOD_PER_SECOND, DEADLINES_MS.get("normal"));
        flooded.run(DURATION_MS);
        // Half of the rank's guaranteed 40% is 20% of the capacity, below the baseline load of 33%.
        double fairShare = 0.2 * FloodSimulation.CAPACITY_PER_SECOND * (DURATION_MS - 1_000) / 1_000;
        assertThat((double) flooded.served("normal", "small")).isAtLeast(MIN_KEPT_SHARE * fairShare);
    }

    /** Guards against idle slots: a single rank may use the whole capacity. */
    @Test
    void unusedShareGoesToOthers() {
        FloodSimulation simulation = new FloodSimulation(3, "", 1);
        simulation.addLoad("bulk", "loud", FLOOD_PER_SECOND, 2_000);
        simulation.run(DURATION_MS);
        double capacity = FloodSimulation.CAPACITY_PER_SECOND * DURATION_MS / 1_000;
        assertThat((double) simulation.stats().completed()).isAtLeast(0.95 * capacity);
        double share = simulation.stats().ranks().get(2).admittedShare();
        assertThat(share).isGreaterThan(0.05);
        assertThat(share).isLessThan(0.2);
    }

    private static FloodSimulation simulation(long seed, String slowRank, double serviceFactor) {
        FloodSimulation simulation = new FloodSimulation(seed, slowRank, serviceFactor);
        for (String rank : RANKS) {
            simulation.addLoad(
                    rank, "small", LOADS.get(rank) * FloodSimulation.CAPACITY_PER_SECOND, DEADLINES_MS.get(rank));
        }
        return simulation;
    }
}
