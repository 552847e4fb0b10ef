package org.siskintiller.core.control;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.control.ClusterHarness.Node;

import static com.google.common.truth.Truth.assertThat;

class ControlPlaneTest {
    private static final int SLOTS = 32;

    private final ClusterHarness cluster = new ClusterHarness(1);

    private void start(int companions) {
        cluster.publish(SLOTS, 2, true, true);
        for (int i = 0; i < companions; i++) {
            cluster.add(100 + i, "domain-" + i % 3);
        }
        cluster.runUntil("all slots open", 5_000, () -> cluster.served(SLOTS) == SLOTS);
    }

    /** Guards against a first companion that waits for witnesses which do not exist. */
    @Test
    void singleCompanionOpensAllSlots() {
        start(1);
    }

    /** Guards against companions that open their sessions together and block each other. */
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
