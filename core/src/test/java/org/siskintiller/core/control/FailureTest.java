package org.siskintiller.core.control;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.control.ClusterHarness.Node;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.Session;
import org.siskintiller.core.model.SlotId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Companions that are lost, paused, isolated or stopped, and a failing log. The harness checks sole ownership after
 * every event.
 */
class FailureTest {
    private static final int SLOTS = 32;
    private static final long MAX_TAKEOVER_MS = 2_000;

    private final ClusterHarness cluster = new ClusterHarness(7);

    private void start(int companions, boolean checksFence) {
        cluster.publish(SLOTS, 2, true, checksFence);
        for (int i = 0; i < companions; i++) {
            cluster.add(100 + i, "domain-" + i % 4);
        }
        cluster.runUntil("all slots open", 5_000, () -> cluster.served(SLOTS) == SLOTS);
        cluster.run(8_000);
        assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
    }

    private Node node(long id) {
        return cluster.nodes.get(new Incarnation(id));
    }

    private void runUntilAllServed(long limitMs) {
        cluster.runUntil("all slots served", limitMs, () -> cluster.served(SLOTS) == SLOTS);
    }

    /** Loss of companions. */
    @Nested
    class Loss {

        /** Guards against slots without an owner for longer than the takeover limit after a companion is lost. */
        @Test
        void standbysTakeOverWithLog() {
            start(6, true);
            node(101).alive = false;
            cluster.run(1);
            runUntilAllServed(MAX_TAKEOVER_MS);
        }

        /** Guards against a takeover that depends on the log. */
        @Test
        void standbysTakeOverWithoutLog() {
            start(6, true);
            cluster.logUp = false;
            cluster.run(3_000);
            node(102).alive = false;
            cluster.run(1);
            runUntilAllServed(MAX_TAKEOVER_MS);
            cluster.run(60_000);
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
            cluster.logUp = true;
            cluster.run(10_000);
            assertThat(node(100).plane.state().isOpen(new Incarnation(102))).isFalse();
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
        }

        /** Guards against a successor that serves while a backend server without fence check still runs a request. */
        @Test
        void successorWaitsForLongestRequestWithoutFence() {
            start(6, false);
            node(101).alive = false;
            // The witness timers expire within 1,212 ms, but the longest request of 600 ms may still run.
            cluster.run(1_400);
            assertThat(cluster.served(SLOTS)).isLessThan(SLOTS);
            runUntilAllServed(MAX_TAKEOVER_MS - 1_400);
        }

        /** Guards against slots without an owner when the owner and the first standby are lost together. */
        @Test
        void secondStandbyTakesOverFromTwo() {
            start(8, true);
            cluster.logUp = false;
            node(101).alive = false;
            node(102).alive = false;
            cluster.run(1);
            runUntilAllServed(MAX_TAKEOVER_MS);
        }

        /** Guards against witnesses of which a majority is lost with one failure domain. */
        @Test
        void failureDomainIsLost() {
            start(12, true);
            cluster.nodes.values().stream()
                    .filter(node -> node.id.id() % 4 == 0)
                    .forEach(node -> node.alive = false);
            cluster.run(1);
            runUntilAllServed(MAX_TAKEOVER_MS);
        }

        /**
         * Guards against slots that open in the batch of records that also ends this companion's session. A suspended
         * machine may read such a batch while, by its clock, the lease has not expired yet.
         */
        @Test
        void suspendedCompanionOpensNothingAfterItsEnd() {
            start(5, true);
            Node suspended = node(101);
            long suspendedNs = cluster.nowNs;
            suspended.pausedUntilNs = suspendedNs + 60_000 * ClusterHarness.MS;
            node(102).handle(new ControlEvent.StopRequested("operator"));
            cluster.runUntil(
                    "the session is ended",
                    10_000,
                    () -> !node(100).plane.state().isOpen(suspended.id));

            var actions = suspended.plane.handle(new ControlEvent.RecordsRead(cluster.log, true), suspendedNs);

            assertThat(suspended.plane.state().isOpen(suspended.id)).isFalse();
            assertThat(actions.stream().filter(action -> action instanceof ControlAction.OpenSlots))
                    .isEmpty();
            List<SlotId> closed = actions.stream()
                    .filter(action -> action instanceof ControlAction.CloseSlots)
                    .map(action -> (ControlAction.CloseSlots) action)
                    .flatMap(close -> close.slots().stream().map(slot -> new SlotId(close.service(), slot.slot())))
                    .toList();
            assertThat(closed).containsAtLeastElementsIn(suspended.gate.keySet());
        }

        /** Guards against a lost session that is never ended because it is a candidate of no slot. */
        @Test
        void sessionWithoutSlotsIsEnded() {
            start(4, true);
            Node idle = cluster.add(200, "domain-0");
            cluster.run(40);
            idle.alive = false;
            cluster.runUntil(
                    "the end is in the log",
                    20_000,
                    () -> !node(100).plane.state().isOpen(idle.id));
        }
    }

    /** Pauses and partitions. */
    @Nested
    class Separation {

        /** Guards against an owner that still serves after a pause longer than its lease. */
        @Test
        void pausedOwnerIsReplacedAndRetires() {
            start(6, true);
            Node paused = node(101);
            paused.pausedUntilNs = cluster.nowNs + 5_000 * ClusterHarness.MS;
            cluster.run(1);
            runUntilAllServed(MAX_TAKEOVER_MS);
            cluster.run(10_000);
            assertThat(paused.hasEmitted(ControlAction.Retire.class)).isTrue();
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
        }

        /** Guards against a lease that is lost although the pause is shorter than the lease. */
        @Test
        void shortPauseKeepsLease() {
            start(6, true);
            int leases = count(node(101), ControlAction.LeaseExtended.class, Long.MIN_VALUE);
            node(101).pausedUntilNs = cluster.nowNs + 700 * ClusterHarness.MS;
            cluster.run(3_000);
            assertThat(count(node(101), ControlAction.LeaseExtended.class, Long.MIN_VALUE))
                    .isEqualTo(leases);
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
        }

        /** Guards against an owner on each side of a partition. */
        @Test
        void isolatedOwnerIsReplaced() {
            start(6, true);
            Incarnation isolated = new Incarnation(103);
            cluster.isDropped = (from, to) -> from.equals(isolated) || to.equals(isolated);
            cluster.run(1_500);
            runUntilAllServed(MAX_TAKEOVER_MS - 1_500);
            cluster.isDropped = (from, to) -> false;
            cluster.run(15_000);
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
        }

        /** Guards against two owners of a slot when each half of the cluster assumes that the other half is lost. */
        @Test
        void partitionedHalvesShareNoSlot() {
            start(8, true);
            cluster.logUp = false;
            cluster.isDropped = (from, to) -> from.id() < 104 != to.id() < 104;
            cluster.run(8_000);
            cluster.isDropped = (from, to) -> false;
            cluster.logUp = true;
            cluster.run(30_000);
        }

        /** Guards against a companion whose state stays behind because it alone cannot read the log. */
        @Test
        void recordsAreRelayed() {
            start(4, true);
            Node behind = node(103);
            behind.readsLog = false;
            cluster.append(new LogRecord.CustomerRemoved(1, "customer", "operator"));
            cluster.runUntil(
                    "the record is relayed", 3_000, () -> behind.plane.state().configVersion() == 2);
        }

        /** Guards against an owner that commits to a release while its state is older than the requester's. */
        @Test
        void ownerBehindTheLogStillReleases() {
            start(6, true);
            Node behind = node(101);
            behind.readsLog = false;
            cluster.append(new LogRecord.DrainRequested(behind.id, "operator"));
            cluster.runUntil("all slots have moved", 3_000, () -> behind.gate.isEmpty());
            runUntilAllServed(50);
            assertThat(behind.plane.state().session(behind.id).orElseThrow().draining())
                    .isTrue();
        }

        /** Guards against lease holders that keep lost witnesses until too few are left to renew the lease. */
        @Test
        void lostWitnessesAreReplaced() {
            start(8, true);
            for (long id = 100; id < 103; id++) {
                node(id).alive = false;
                cluster.add(200 + id, "domain-" + id % 4);
                cluster.run(6_000);
            }
            cluster.nodes.values().stream().filter(node -> node.alive).forEach(this::assertLiveWitnesses);
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
        }

        private void assertLiveWitnesses(Node holder) {
            Session session = holder.plane.state().session(holder.id).orElseThrow();
            assertThat(session.witnesses()).hasSize(5);
            session.witnesses().forEach(witness -> assertThat(cluster.nodes.get(witness).alive)
                    .isTrue());
            assertThat(holder.plane.holdsLease(cluster.nowNs)).isTrue();
        }

        private int count(Node node, Class<?> type, long expiryNs) {
            return (int) node.actions.stream()
                    .filter(type::isInstance)
                    .filter(action -> ((ControlAction.LeaseExtended) action).expiryNs() == expiryNs)
                    .count();
        }
    }

    /** Planned changes. */
    @Nested
    class Planned {

        /** Guards against a planned stop that leaves slots without an owner, or ends while requests may run. */
        @Test
        void stopHandsOverAllSlots() {
            start(6, true);
            Node leaving = node(102);
            leaving.handle(new ControlEvent.StopRequested("operator"));
            long longestGapMs = 0;
            while (!leaving.hasEmitted(ControlAction.Stopped.class)) {
                longestGapMs =
                        Math.max(longestGapMs, cluster.runUntil("served", 200, () -> cluster.served(SLOTS) == SLOTS));
                cluster.run(1);
            }
            assertThat(longestGapMs).isLessThan(50);
            assertThat(leaving.gate).isEmpty();
            assertThat(node(100).plane.state().isOpen(leaving.id)).isFalse();
        }

        /** Guards against a planned stop that waits for the log, or whose standbys wait until the lease expires. */
        @Test
        void stopWithoutLogRelinquishesLease() {
            start(6, true);
            cluster.logUp = false;
            Node leaving = node(102);
            leaving.handle(new ControlEvent.StopRequested("operator"));
            cluster.runUntil("stopped", 10_000, () -> leaving.hasEmitted(ControlAction.Stopped.class));
            assertThat(leaving.gate).isEmpty();
            runUntilAllServed(100);
        }

        /** Guards against slots without an owner until the lease expires, although their backend server is lost. */
        @Test
        void lostBackendServerRelinquishesLease() {
            start(6, true);
            cluster.logUp = false;
            node(102).handle(new ControlEvent.BackendServerChanged(false));
            runUntilAllServed(100);
            cluster.run(20_000);
            // Without the log, no holder can replace its witness, so this companion acks until the log is available.
            assertThat(node(102).hasEmitted(ControlAction.Retire.class)).isFalse();
            runUntilAllServed(0);
            cluster.logUp = true;
            cluster.run(10_000);
            assertThat(node(102).hasEmitted(ControlAction.Retire.class)).isTrue();
        }

        /** Guards against a drain request that does not move the slots to other companions. */
        @Test
        void drainMovesSlotsAway() {
            start(6, true);
            cluster.append(new LogRecord.DrainRequested(new Incarnation(103), "operator"));
            cluster.runUntil("drained", 3_000, () -> node(103).gate.isEmpty());
            runUntilAllServed(50);
        }

        /** Guards against a customer removal that some session, opened before or after it, never confirms. */
        @Test
        void everySessionConfirmsADeparture() {
            start(4, true);
            cluster.append(new LogRecord.CustomerRemoved(1, "customer", "operator"));
            cluster.run(500);
            Node added = cluster.add(200, "domain-1");
            cluster.run(500);
            assertThat(added.plane
                            .state()
                            .removedCustomer("customer")
                            .orElseThrow()
                            .confirmed())
                    .hasSize(5);
        }
    }

    /** Lost responses of the log, and a log that retains records for a limited time. */
    @Nested
    class Log {

        /** Guards against an append that takes effect twice, or a witness change that stays undecided. */
        @Test
        void lostLogResponsesAreTolerated() {
            cluster.loseLogResponses = true;
            start(6, true);
            node(101).alive = false;
            cluster.run(1);
            runUntilAllServed(MAX_TAKEOVER_MS);
            cluster.run(10_000);
            assertThat(node(100).plane.state().isOpen(new Incarnation(101))).isFalse();
        }

        /** Guards against a new companion that cannot start once the first records have expired. */
        @Test
        void newCompanionStartsFromSnapshot() {
            cluster.recordsPerSnapshot = 40;
            start(6, true);
            for (int i = 0; i < 60; i++) {
                cluster.append(new LogRecord.DrainRequested(new Incarnation(999), "operator"));
            }
            cluster.run(3_000);
            cluster.firstRetained = node(100).plane.state().snapshotOffset() + 1;
            assertThat(cluster.firstRetained).isAtLeast(40);
            Node added = cluster.add(200, "domain-1");
            cluster.run(5_000);
            assertThat(added.plane.state().image())
                    .isEqualTo(node(100).plane.state().image());
            assertThat(added.plane.holdsLease(cluster.nowNs)).isTrue();
        }

        /** Guards against two owners of a slot when messages are lost, delayed and duplicated. */
        @Test
        void lossyNetworkKeepsSoleOwners() {
            cluster.lossPercent = 20;
            start(6, false);
            node(101).alive = false;
            cluster.run(1);
            runUntilAllServed(MAX_TAKEOVER_MS + 1_000);
            Map<SlotId, Fence> open = node(100).plane.openSlots();
            assertThat(open).isNotEmpty();
        }
    }
}
