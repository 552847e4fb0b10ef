package org.siskintiller.core.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Incarnation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class BalancedPlannerTest {
    /** Required maximum of docs/design.md section 1.3. */
    private static final double MAX_IMBALANCE = 1.10;
    /** Required maximum of slots moved at a loss or join, relative to the smallest possible number. */
    private static final double MAX_CHURN = 1.1;

    private static final int MEMBERS = 6;
    private static final int DOMAINS = 4;

    private static PlacementSimulation runningSimulation(long seed, double weightUnavailable, double weightChurn) {
        PlacementSimulation simulation = new PlacementSimulation(weightUnavailable, weightChurn);
        for (int i = 0; i < MEMBERS; i++) {
            simulation.join(i, DOMAINS);
        }
        simulation.changeHotKeys(new Random(seed));
        simulation.run(5);
        return simulation;
    }

    @Nested
    class Balance {

        /** Guards against owners that stay overloaded after a change of the hot keys. */
        @Test
        void keepsImbalanceBelowMaximumWhileHotKeysChange() {
            for (double[] weights : new double[][] {{3, 1}, {1, 3}}) {
                for (long seed = 1; seed <= 10; seed++) {
                    PlacementSimulation simulation = runningSimulation(seed, weights[0], weights[1]);
                    Random random = new Random(seed);
                    for (int change = 0; change < 5; change++) {
                        simulation.changeHotKeys(random);
                        simulation.run(60);
                        double maxImbalance = Math.max(MAX_IMBALANCE, simulation.largestSlotImbalance());
                        assertWithMessage("seed %s, change %s", seed, change)
                                .that(simulation.imbalance())
                                .isAtMost(maxImbalance);
                    }
                }
            }
        }

        /** Guards against planning that keeps moving slots although the loads are constant. */
        @Test
        void movesNothingWhileLoadsAreConstant() {
            PlacementSimulation simulation = runningSimulation(7, 1, 1);
            simulation.run(60);
            int before = simulation.ownerChanges();
            simulation.run(600);
            assertThat(simulation.ownerChanges()).isEqualTo(before);
        }

        /** Guards against a preset's churn weight that the planner ignores. */
        @Test
        void churnWeightLowersTheNumberOfMoves() {
            assertThat(movesDuringHotKeyChanges(1, 9)).isLessThan(movesDuringHotKeyChanges(9, 1));
        }

        private int movesDuringHotKeyChanges(double weightUnavailable, double weightChurn) {
            int moves = 0;
            for (long seed = 1; seed <= 10; seed++) {
                PlacementSimulation simulation = runningSimulation(seed, weightUnavailable, weightChurn);
                Random random = new Random(seed);
                for (int change = 0; change < 5; change++) {
                    simulation.changeHotKeys(random);
                    simulation.run(60);
                }
                moves += simulation.ownerChanges();
            }
            return moves;
        }
    }

    @Nested
    class Loss {

        /** Guards against a loss that moves slots of surviving owners. */
        @Test
        void movesOnlySlotsOfTheLostOwner() {
            for (long seed = 1; seed <= 10; seed++) {
                PlacementSimulation simulation = runningSimulation(seed, 1, 1);
                simulation.run(60);
                int lostSlots = slotsOf(simulation, new Incarnation(3));
                Set<Integer> slotsOfOthers = new HashSet<>();
                for (int slot = 0; slot < PlacementSimulation.SLOTS; slot++) {
                    if (!simulation.owner(slot).equals(new Incarnation(3))) {
                        slotsOfOthers.add(slot);
                    }
                }
                Map<Integer, Incarnation> before = new java.util.HashMap<>();
                slotsOfOthers.forEach(slot -> before.put(slot, simulation.owner(slot)));
                simulation.lose(3, 0);
                simulation.run(60);
                int moved = 0;
                for (int slot : slotsOfOthers) {
                    moved += before.get(slot).equals(simulation.owner(slot)) ? 0 : 1;
                }
                assertWithMessage("seed %s, lost %s", seed, lostSlots)
                        .that((double) (lostSlots + moved) / lostSlots)
                        .isAtMost(MAX_CHURN);
            }
        }

        /** Guards against a loss after which one standby takes over the owner's whole load. */
        @Test
        void spreadsTheLoadOfALostOwner() {
            PlacementSimulation simulation = runningSimulation(1, 1, 1);
            simulation.run(60);
            simulation.lose(3, 0);
            Map<Incarnation, Double> loads = simulation.ownerLoads();
            for (Map.Entry<Incarnation, Double> load : loads.entrySet()) {
                assertThat(load.getValue()).isLessThan(1000.0 / (MEMBERS - 1) * 1.35);
            }
        }

        /** Guards against standbys that fail together with their owner. */
        @Test
        void keepsStandbysInOtherFailureDomains() {
            PlacementSimulation simulation = runningSimulation(1, 1, 1);
            simulation.lose(2, 0);
            simulation.run(30);
            for (int slot = 0; slot < PlacementSimulation.SLOTS; slot++) {
                List<Incarnation> candidates = simulation
                        .state()
                        .assignment(PlacementSimulation.SERVICE, slot)
                        .candidates();
                assertThat(candidates).hasSize(3);
                String ownerDomain = simulation
                        .state()
                        .session(candidates.get(0))
                        .orElseThrow()
                        .failureDomain();
                assertThat(simulation
                                .state()
                                .session(candidates.get(1))
                                .orElseThrow()
                                .failureDomain())
                        .isNotEqualTo(ownerDomain);
            }
        }
    }

    @Nested
    class Join {

        /** Guards against a join that moves slots between existing members. */
        @Test
        void movesFewMoreSlotsThanTheNewMemberReceives() {
            for (long seed = 1; seed <= 10; seed++) {
                PlacementSimulation simulation = runningSimulation(seed, 1, 1);
                simulation.run(60);
                int before = simulation.ownerChanges();
                simulation.join(6, DOMAINS);
                simulation.run(120);
                int moved = simulation.ownerChanges() - before;
                int received = slotsOf(simulation, new Incarnation(6));
                assertThat(received).isAtLeast(1);
                assertWithMessage("seed %s", seed)
                        .that((double) moved / received)
                        .isAtMost(MAX_CHURN);
            }
        }
    }

    @Nested
    class Drain {

        /** Guards against a draining member that keeps slots. */
        @Test
        void leavesNoSlotAtADrainingMember() {
            PlacementSimulation simulation = runningSimulation(1, 1, 1);
            simulation.drain(4);
            simulation.run(5);
            assertThat(slotsOf(simulation, new Incarnation(4))).isEqualTo(0);
        }
    }

    private static int slotsOf(PlacementSimulation simulation, Incarnation owner) {
        int count = 0;
        for (int slot = 0; slot < PlacementSimulation.SLOTS; slot++) {
            count += owner.equals(simulation.owner(slot)) ? 1 : 0;
        }
        return count;
    }
}
