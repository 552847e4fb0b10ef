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
    /** Stated target of docs/design.md section 1.3. */
    private static final double MAX_IMBALANCE = 1.10;
    /** Stated target: churn at a loss or join over the least possible. */
    private static final double MAX_CHURN = 1.1;

    private static final int MEMBERS = 6;
    private static final int DOMAINS = 4;

    private static PlacementWorld world(long seed, double weightUnavailable, double weightChurn) {
        PlacementWorld world = new PlacementWorld(weightUnavailable, weightChurn);
        for (int i = 0; i < MEMBERS; i++) {
            world.join(i, DOMAINS);
        }
        world.changeHotKeys(new Random(seed));
        world.run(5);
        return world;
    }

    @Nested
    class Balance {

        /** Guards against owners that stay overloaded after the hot keys changed. */
        @Test
        void staysWithinTheBoundWhileHotKeysChange() {
            for (double[] weights : new double[][] {{3, 1}, {1, 3}}) {
                for (long seed = 1; seed <= 10; seed++) {
                    PlacementWorld world = world(seed, weights[0], weights[1]);
                    Random random = new Random(seed);
                    for (int change = 0; change < 5; change++) {
                        world.changeHotKeys(random);
                        world.run(60);
                        double bound = Math.max(MAX_IMBALANCE, world.largestSlot());
                        assertWithMessage("seed %s, change %s", seed, change)
                                .that(world.imbalance())
                                .isAtMost(bound);
                    }
                }
            }
        }

        /** Guards against moves that constant loads do not justify. */
        @Test
        void movesNothingWhileLoadsAreConstant() {
            PlacementWorld world = world(7, 1, 1);
            world.run(60);
            int before = world.ownerChanges();
            world.run(600);
            assertThat(world.ownerChanges()).isEqualTo(before);
        }

        /** Guards against a policy weight without effect. */
        @Test
        void churnWeightLowersTheNumberOfMoves() {
            assertThat(movesOverChanges(1, 9)).isLessThan(movesOverChanges(9, 1));
        }

        private int movesOverChanges(double weightUnavailable, double weightChurn) {
            int moves = 0;
            for (long seed = 1; seed <= 10; seed++) {
                PlacementWorld world = world(seed, weightUnavailable, weightChurn);
                Random random = new Random(seed);
                for (int change = 0; change < 5; change++) {
                    world.changeHotKeys(random);
                    world.run(60);
                }
                moves += world.ownerChanges();
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
                PlacementWorld world = world(seed, 1, 1);
                world.run(60);
                int lost = slotsOf(world, new Incarnation(3));
                Set<Integer> others = new HashSet<>();
                for (int slot = 0; slot < PlacementWorld.SLOTS; slot++) {
                    if (!world.owner(slot).equals(new Incarnation(3))) {
                        others.add(slot);
                    }
                }
                Map<Integer, Incarnation> before = new java.util.HashMap<>();
                others.forEach(slot -> before.put(slot, world.owner(slot)));
                world.lose(3, 0);
                world.run(60);
                int moved = 0;
                for (int slot : others) {
                    moved += before.get(slot).equals(world.owner(slot)) ? 0 : 1;
                }
                assertWithMessage("seed %s, lost %s", seed, lost)
                        .that((double) (lost + moved) / lost)
                        .isAtMost(MAX_CHURN);
            }
        }

        /** Guards against a lost owner's whole load landing on one standby. */
        @Test
        void spreadsTheLoadOfALostOwner() {
            PlacementWorld world = world(1, 1, 1);
            world.run(60);
            world.lose(3, 0);
            Map<Incarnation, Double> loads = world.ownerLoads();
            for (Map.Entry<Incarnation, Double> load : loads.entrySet()) {
                assertThat(load.getValue()).isLessThan(1000.0 / (MEMBERS - 1) * 1.35);
            }
        }

        /** Guards against standbys that fail together with their owner. */
        @Test
        void keepsStandbysInOtherFailureDomains() {
            PlacementWorld world = world(1, 1, 1);
            world.lose(2, 0);
            world.run(30);
            for (int slot = 0; slot < PlacementWorld.SLOTS; slot++) {
                List<Incarnation> candidates =
                        world.state().assignment(PlacementWorld.SERVICE, slot).candidates();
                assertThat(candidates).hasSize(3);
                String ownerDomain =
                        world.state().session(candidates.get(0)).orElseThrow().failureDomain();
                assertThat(world.state()
                                .session(candidates.get(1))
                                .orElseThrow()
                                .failureDomain())
                        .isNotEqualTo(ownerDomain);
            }
        }
    }

    @Nested
    class Join {

        /** Guards against a join that shuffles slots between old members. */
        @Test
        void movesAboutTheLeastPossible() {
            for (long seed = 1; seed <= 10; seed++) {
                PlacementWorld world = world(seed, 1, 1);
                world.run(60);
                int before = world.ownerChanges();
                world.join(6, DOMAINS);
                world.run(120);
                int moved = world.ownerChanges() - before;
                int received = slotsOf(world, new Incarnation(6));
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
            PlacementWorld world = world(1, 1, 1);
            world.drain(4);
            world.run(5);
            assertThat(slotsOf(world, new Incarnation(4))).isEqualTo(0);
        }
    }

    private static int slotsOf(PlacementWorld world, Incarnation owner) {
        int count = 0;
        for (int slot = 0; slot < PlacementWorld.SLOTS; slot++) {
            count += owner.equals(world.owner(slot)) ? 1 : 0;
        }
        return count;
    }
}
