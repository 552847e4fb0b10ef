package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskintiller.core.control.ClusterHarness.Node;
import org.siskintiller.core.model.Incarnation;

/** Faults at random times. The harness checks sole ownership at every event. */
class RandomFaultsTest {
    private static final int SLOTS = 24;
    private static final int COMPANIONS = 9;

    private ClusterHarness cluster;
    private long nextId = 100;
    private long lastLossNs;
    private int lossesWithoutLog;

    /** Guards against two owners, or slots that stay without owner after all faults are over. */
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
            replaceGone();
        }
        heal();
        for (int round = 0; round < 30; round++) {
            cluster.run(1_000);
            replaceGone();
        }
        cluster.runUntil("all slots served after seed " + seed, 10_000, () -> cluster.served(SLOTS) == SLOTS);
    }

    private void addCompanion() {
        cluster.add(nextId, "domain-" + nextId % 4);
        nextId++;
    }

    private void replaceGone() {
        long alive = cluster.nodes.values().stream().filter(each -> each.alive).count();
        while (alive++ < COMPANIONS) {
            addCompanion();
        }
    }

    private void injectFault() {
        switch (cluster.random.nextInt(6)) {
            case 0:
                cluster.cut = (from, to) -> false;
                break;
            case 1:
                cluster.logUp = !cluster.logUp;
                lossesWithoutLog = 0;
                break;
            case 2:
                cluster.lossPercent = cluster.random.nextInt(3) * 10;
                break;
            case 3:
                cluster.loseLogAnswers = !cluster.loseLogAnswers;
                break;
            default:
                loseOne();
                break;
        }
    }

    /** A session whose witness majority is lost with it can only be ended by an operator, so losses are spaced. */
    private void loseOne() {
        boolean tooSoon = cluster.now - lastLossNs < 4_000 * ClusterHarness.MS;
        if (tooSoon || !cluster.logUp && lossesWithoutLog++ > 1) {
            return;
        }
        lastLossNs = cluster.now;
        List<Node> alive = new ArrayList<>();
        cluster.nodes.values().stream().filter(each -> each.alive).forEach(alive::add);
        Node victim = alive.get(cluster.random.nextInt(alive.size()));
        switch (cluster.random.nextInt(6)) {
            case 0:
                victim.alive = false;
                break;
            case 1:
                victim.pausedUntil = cluster.now + cluster.random.nextInt(4_000) * ClusterHarness.MS;
                break;
            case 2:
                Incarnation isolated = victim.id;
                cluster.cut = (from, to) -> from.equals(isolated) || to.equals(isolated);
                break;
            case 3:
                cluster.cut = (from, to) -> from.equals(victim.id) && to.id() % 2 == 0;
                break;
            case 4:
                victim.handle(new ControlEvent.StopRequested("operator"));
                break;
            default:
                victim.handle(new ControlEvent.BackendServerChanged(false));
                break;
        }
    }

    private void heal() {
        cluster.logUp = true;
        cluster.loseLogAnswers = false;
        cluster.lossPercent = 0;
        cluster.cut = (from, to) -> false;
    }
}
