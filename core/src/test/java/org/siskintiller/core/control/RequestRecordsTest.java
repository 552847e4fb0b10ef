package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.control.ClusterHarness.Node;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;

import static com.google.common.truth.Truth.assertThat;

/** Request records of a service that is not idempotent, when its slots change their owners. */
class RequestRecordsTest {
    private static final int SLOTS = 32;
    private static final long BOUND_MS = 2_000;

    private final ClusterHarness cluster = new ClusterHarness(7);

    private void start(int companions) {
        cluster.publish(SLOTS, 2, false, true);
        for (int i = 0; i < companions; i++) {
            cluster.add(100 + i, "domain-" + i % 4);
        }
        cluster.run(10_000);
        assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
    }

    private Node node(long id) {
        return cluster.nodes.get(new Incarnation(id));
    }

    private List<ControlAction.OpenSlots> openedAfter(Runnable fault) {
        Map<Node, Integer> known = new HashMap<>();
        cluster.nodes.values().forEach(each -> known.put(each, each.actions.size()));
        fault.run();
        List<ControlAction.OpenSlots> opened = new ArrayList<>();
        for (Node node : cluster.nodes.values()) {
            node.actions.subList(known.get(node), node.actions.size()).stream()
                    .filter(ControlAction.OpenSlots.class::isInstance)
                    .forEach(each -> opened.add((ControlAction.OpenSlots) each));
        }
        return opened;
    }

    /** Guards against a takeover that vouches for a copy: only the gate knows whether it was synchronised. */
    @Test
    void takeoverLeavesTheProofToTheGate() {
        start(6);
        List<ControlAction.OpenSlots> opened = openedAfter(() -> {
            node(101).alive = false;
            cluster.run(BOUND_MS);
        });
        assertThat(opened.stream().anyMatch(each -> !each.recordsComplete())).isTrue();
        for (ControlAction.OpenSlots each : opened) {
            boolean takeover =
                    each.slots().stream().anyMatch(slot -> slot.fence().candidateIndex() > 0);
            assertThat(takeover && each.recordsComplete()).isFalse();
        }
    }

    /** Guards against a second run of a request whose record was lost with owner and standby. */
    @Test
    void lossOfOwnerAndStandbyIsKnown() {
        start(8);
        cluster.logUp = false;
        List<Incarnation> lost =
                node(100).plane.state().assignment(ClusterHarness.SERVICE, 0).candidates();
        List<ControlAction.OpenSlots> opened = openedAfter(() -> {
            cluster.nodes.get(lost.get(0)).alive = false;
            cluster.nodes.get(lost.get(1)).alive = false;
            cluster.run(BOUND_MS);
        });
        for (ControlAction.OpenSlots each : opened) {
            for (ControlAction.OpenSlot slot : each.slots()) {
                assertThat(slot.slot() != 0 || !each.recordsComplete()).isTrue();
            }
        }
        assertThat(cluster.ownerOf(0).id).isEqualTo(lost.get(2));
    }

    /** Guards against a planned move that loses them. */
    @Test
    void plannedMoveKeepsThem() {
        start(6);
        List<ControlAction.OpenSlots> opened = openedAfter(() -> {
            cluster.append(new LogRecord.DrainRequested(new Incarnation(103), "operator"));
            cluster.run(1_000);
        });
        assertThat(opened).isNotEmpty();
        opened.forEach(each -> assertThat(each.recordsComplete()).isTrue());
    }
}
