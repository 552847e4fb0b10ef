package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskintiller.core.control.ClusterHarness.Node;
import org.siskintiller.core.model.Incarnation;

/** Faults at random times. The harness checks sole ownership after every event. */
class RandomFaultsTest {
    private static final int SLOTS = 24;
    private static final int COMPANIONS = 9;

    private ClusterHarness cluster;
    private long nextId = 100;
    private long lastDisturbanceNs;
    private int disturbancesWithoutLog;

    /** Guards against two owners of a slot, or slots that stay without an owner after all faults have ended. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void soleOwnersUnderRandomFaults(long seed) {
        cluster = new ClusterHarness(seed);
        cluster.recordsPerSnapshot = 100;
        cluster.publish(SLOTS, 2, true, seed % 2 == 0);
        for (int i = 0; i < COMPANIONS; i++) {
            addCompanion();
        }
        cluster.run(3_000);
        for (int round = 0; round < 40; round++) {
            injectFault();
            cluster.run(cluster.random.nextInt(1_500));
            replaceLost();
        }
        endFaults();
        for (int round = 0; round < 30; round++) {
            cluster.run(1_000);
            replaceLost();
        }
        cluster.runUntil("all slots served after seed " + seed, 10_000, () -> cluster.served(SLOTS) == SLOTS);
    }

    private void addCompanion() {
        cluster.add(nextId, "domain-" + nextId % 4);
        nextId++;
    }

    private void replaceLost() {
        long alive = cluster.nodes.values().stream().filter(node -> node.alive).count();
        while (alive++ < COMPANIONS) {
            addCompanion();
        }
    }

    private void injectFault() {
        switch (cluster.random.nextInt(6)) {
            case 0:
                cluster.isDropped = (from, to) -> false;
                break;
            case 1:
                cluster.logUp = !cluster.logUp;
                disturbancesWithoutLog = 0;
                break;
            case 2:
                cluster.lossPercent = cluster.random.nextInt(3) * 10;
                break;
            case 3:
                cluster.loseLogResponses = !cluster.loseLogResponses;
                break;
            default:
                disturbCompanion();
                break;
        }
    }

    /**
     * Stops, pauses or isolates one companion. A session that is lost together with a majority of its witnesses can
     * only be ended by an operator, so such faults are at least 4 s apart and limited while the log is down.
     */
    private void disturbCompanion() {
        boolean tooSoon = cluster.nowNs - lastDisturbanceNs < 4_000 * ClusterHarness.MS;
        if (tooSoon || !cluster.logUp && disturbancesWithoutLog++ > 1) {
            return;
        }
        lastDisturbanceNs = cluster.nowNs;
        List<Node> alive = new ArrayList<>();
        cluster.nodes.values().stream().filter(node -> node.alive).forEach(alive::add);
        Node target = alive.get(cluster.random.nextInt(alive.size()));
        switch (cluster.random.nextInt(6)) {
            case 0:
                target.alive = false;
                break;
            case 1:
                target.pausedUntilNs = cluster.nowNs + cluster.random.nextInt(4_000) * ClusterHarness.MS;
                break;
            case 2:
                Incarnation isolated = target.id;
                cluster.isDropped = (from, to) -> from.equals(isolated) || to.equals(isolated);
                break;
            case 3:
                cluster.isDropped = (from, to) -> from.equals(target.id) && to.id() % 2 == 0;
                break;
            case 4:
                target.handle(new ControlEvent.StopRequested("operator"));
                break;
            default:
                target.handle(new ControlEvent.BackendServerChanged(false));
                break;
        }
    }

    private void endFaults() {
        cluster.logUp = true;
        cluster.loseLogResponses = false;
        cluster.lossPercent = 0;
        cluster.isDropped = (from, to) -> false;
    }
}
