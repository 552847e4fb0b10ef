package org.siskintiller.core.control;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.control.ClusterHarness.Node;

import static com.google.common.truth.Truth.assertThat;

class ControlPlaneTest {
    private static final int SLOTS = 32;

    private final ClusterHarness cluster = new ClusterHarness(1);

    private void start(int companions) {
        start(cluster, companions);
    }

    private static void start(ClusterHarness cluster, int companions) {
        cluster.publish(SLOTS, 2, true, true);
        for (int i = 0; i < companions; i++) {
            cluster.add(100 + i, "domain-" + i % 3);
        }
        cluster.runUntil("all slots open", 5_000, () -> cluster.served(SLOTS) == SLOTS);
    }

    /** Guards against a first companion that never opens its session because there are no witnesses. */
    @Test
    void singleCompanionOpensAllSlots() {
        start(1);
    }

    /** Guards against actions that depend on more than the events, their times and the seed. */
    @Test
    void sameEventsGiveSameActions() {
        start(5);
        cluster.run(3_000);
        ClusterHarness other = new ClusterHarness(1);
        start(other, 5);
        other.run(3_000);
        cluster.nodes.forEach((id, node) -> assertThat(other.nodes.get(id).actions)
                .containsExactlyElementsIn(node.actions)
                .inOrder());
    }

    /** Guards against companions that block each other when they open their sessions at the same time. */
    @Test
    void threeCompanionsOpenAllSlots() {
        start(3);
        cluster.run(5_000);
        for (Node node : cluster.nodes.values()) {
            assertThat(node.plane.openSlots()).isNotEmpty();
            assertThat(node.plane.state().session(node.id).orElseThrow().witnesses())
                    .hasSize(2);
        }
    }
}
