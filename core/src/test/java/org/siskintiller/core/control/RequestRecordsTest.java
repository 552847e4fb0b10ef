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

/** Request records of a non-idempotent service when its slots move to other owners. */
class RequestRecordsTest {
    private static final int SLOTS = 32;
    private static final long MAX_TAKEOVER_MS = 2_000;

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
        Map<Node, Integer> actionsBefore = new HashMap<>();
        cluster.nodes.values().forEach(node -> actionsBefore.put(node, node.actions.size()));
        fault.run();
        List<ControlAction.OpenSlots> opened = new ArrayList<>();
        for (Node node : cluster.nodes.values()) {
            node.actions.subList(actionsBefore.get(node), node.actions.size()).stream()
                    .filter(ControlAction.OpenSlots.class::isInstance)
                    .forEach(action -> opened.add((ControlAction.OpenSlots) action));
        }
        return opened;
    }

    /** Guards against a takeover that reports its records as complete: only the gate can check whether they are. */
    @Test
    void takeoverDoesNotReportRecordsComplete() {
        start(6);
        List<ControlAction.OpenSlots> opened = openedAfter(() -> {
            node(101).alive = false;
            cluster.run(MAX_TAKEOVER_MS);
        });
        assertThat(opened.stream().anyMatch(open -> !open.recordsComplete())).isTrue();
        for (ControlAction.OpenSlots open : opened) {
            boolean takeover =
                    open.slots().stream().anyMatch(slot -> slot.fence().candidateIndex() > 0);
            assertThat(takeover && open.recordsComplete()).isFalse();
        }
    }

    /** Guards against a second execution of a request whose record was lost with the owner and the standby. */
    @Test
    void lossOfOwnerAndStandbyReportsRecordsIncomplete() {
        start(8);
        cluster.logUp = false;
        List<Incarnation> lost =
                node(100).plane.state().assignment(ClusterHarness.SERVICE, 0).candidates();
        List<ControlAction.OpenSlots> opened = openedAfter(() -> {
            cluster.nodes.get(lost.get(0)).alive = false;
            cluster.nodes.get(lost.get(1)).alive = false;
            cluster.run(MAX_TAKEOVER_MS);
        });
        for (ControlAction.OpenSlots open : opened) {
            for (ControlAction.OpenSlot slot : open.slots()) {
                assertThat(slot.slot() != 0 || !open.recordsComplete()).isTrue();
            }
        }
        assertThat(cluster.ownerOf(0).id).isEqualTo(lost.get(2));
    }

    /** Guards against a planned move that loses request records. */
    @Test
    void plannedMoveKeepsRequestRecords() {
        start(6);
        List<ControlAction.OpenSlots> opened = openedAfter(() -> {
            cluster.append(new LogRecord.DrainRequested(new Incarnation(103), "operator"));
            cluster.run(1_000);
        });
        assertThat(opened).isNotEmpty();
        opened.forEach(open -> assertThat(open.recordsComplete()).isTrue());
    }
}
