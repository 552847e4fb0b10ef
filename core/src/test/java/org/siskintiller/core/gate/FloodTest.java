package org.siskintiller.core.gate;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class FloodTest {
    /** Least share of its earlier service that another rank keeps in a flood. */
    private static final double KEPT_SHARE = 0.95;

    private static final double FLOOD_PER_SECOND = 10 * FloodWorld.CAPACITY_PER_SECOND;
    private static final long DURATION_MS = 8_000;
    private static final List<String> RANKS = List.of("urgent", "normal", "bulk");
    private static final Map<String, Long> DEADLINES_MS = Map.of("urgent", 150L, "normal", 500L, "bulk", 2_000L);
    /** Load of each rank as a share of the capacity, within the guaranteed shares of 30, 40 and 30%. */
    private static final Map<String, Double> LOADS = Map.of("urgent", 0.25, "normal", 0.33, "bulk", 0.25);

    /** Guards against a flood of one rank that takes what lies within the shares of the others. */
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
        FloodWorld calm = world(1, flooding, 1);
        calm.run(DURATION_MS);
        FloodWorld flooded = world(1, flooding, serviceFactor);
        flooded.load(flooding, "loud", FLOOD_PER_SECOND, DEADLINES_MS.get(flooding));
        flooded.run(DURATION_MS);
        for (String rank : RANKS) {
            if (!rank.equals(flooding)) {
                assertWithMessage("served requests of rank " + rank)
                        .that((double) flooded.served(rank, "small"))
                        .isAtLeast(KEPT_SHARE * calm.served(rank, "small"));
            }
        }
        assertWithMessage("99th percentile of the urgent rank in ms")
                .that(flooded.p99Ms("urgent", "small"))
                .isAtMost(FloodWorld.URGENT_TARGET_MS);
    }

    /** Guards against a loud customer that takes the share of another one in the same rank. */
    @Test
    void customersOfTheFloodedRankKeepTheirShare() {
        FloodWorld calm = world(2, "", 1);
        calm.run(DURATION_MS);
        FloodWorld flooded = world(2, "", 1);
        flooded.load("normal", "loud", FLOOD_PER_SECOND, DEADLINES_MS.get("normal"));
        flooded.run(DURATION_MS);
        // Half of the rank's guaranteed 40% is 20% of the capacity, below the calm load of 33%.
        double fairShare = 0.2 * FloodWorld.CAPACITY_PER_SECOND * (DURATION_MS - 1_000) / 1_000;
        assertThat((double) flooded.served("normal", "small")).isAtLeast(KEPT_SHARE * fairShare);
    }

    /** Guards against idle slots: one rank alone may use all of the capacity. */
    @Test
    void unusedShareGoesToOthers() {
        FloodWorld world = new FloodWorld(3, "", 1);
        world.load("bulk", "loud", FLOOD_PER_SECOND, 2_000);
        world.run(DURATION_MS);
        double capacity = FloodWorld.CAPACITY_PER_SECOND * DURATION_MS / 1_000;
        assertThat((double) world.stats().completed()).isAtLeast(0.95 * capacity);
        double share = world.stats().ranks().get(2).admittedShare();
        assertThat(share).isGreaterThan(0.05);
        assertThat(share).isLessThan(0.2);
    }

    private static FloodWorld world(long seed, String slowRank, double serviceFactor) {
        FloodWorld world = new FloodWorld(seed, slowRank, serviceFactor);
        for (String rank : RANKS) {
            world.load(rank, "small", LOADS.get(rank) * FloodWorld.CAPACITY_PER_SECOND, DEADLINES_MS.get(rank));
        }
        return world;
    }
}
