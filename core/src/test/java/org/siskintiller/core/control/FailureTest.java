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

/** Failures of section 9 of the design page. The harness checks sole ownership at every event. */
class FailureTest {
    private static final int SLOTS = 32;
    private static final long BOUND_MS = 2_000;

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

    private void allServed(long limitMs) {
        cluster.runUntil("all slots served", limitMs, () -> cluster.served(SLOTS) == SLOTS);
    }

    /** Loss of companions. */
    @Nested
    class Loss {

        /** Guards against keys that stay without an owner for longer than the bound. */
        @Test
        void standbysTakeOverWithLog() {
            start(6, true);
            node(101).alive = false;
            cluster.run(1);
            allServed(BOUND_MS);
        }

        /** Guards against a takeover that needs the log. */
        @Test
        void standbysTakeOverWithoutLog() {
            start(6, true);
            cluster.logUp = false;
            cluster.run(3_000);
            node(102).alive = false;
            cluster.run(1);
            allServed(BOUND_MS);
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
            // The witness timers have expired by 1,212 ms, and the longest request of 600 ms has not.
            cluster.run(1_400);
            assertThat(cluster.served(SLOTS)).isLessThan(SLOTS);
            allServed(BOUND_MS - 1_400);
        }

        /** Guards against slots that stay without owner when owner and first standby are lost together. */
        @Test
        void secondStandbyTakesOverFromTwo() {
            start(8, true);
            cluster.logUp = false;
            node(101).alive = false;
            node(102).alive = false;
            cluster.run(1);
            allServed(BOUND_MS);
        }

        /** Guards against a failure domain whose loss takes the witness majority with it. */
        @Test
        void failureDomainIsLost() {
            start(12, true);
            cluster.nodes.values().stream()
                    .filter(each -> each.id.id() % 4 == 0)
                    .forEach(each -> each.alive = false);
            cluster.run(1);
            allServed(BOUND_MS);
        }

        /**
         * Guards against slots that open in the batch of records that also ends the own session. A suspended machine
         * reads such a batch, and its clock says that the lease still runs.
         */
        @Test
        void suspendedCompanionOpensNothingAfterItsEnd() {
            start(5, true);
            Node suspended = node(101);
            long suspendedNs = cluster.now;
            suspended.pausedUntil = suspendedNs + 60_000 * ClusterHarness.MS;
            node(102).handle(new ControlEvent.StopRequested("operator"));
            cluster.runUntil(
                    "the session is ended",
                    10_000,
                    () -> !node(100).plane.state().isOpen(suspended.id));

            var actions = suspended.plane.handle(new ControlEvent.RecordsRead(cluster.log, true), suspendedNs);

            assertThat(suspended.plane.state().isOpen(suspended.id)).isFalse();
            assertThat(actions.stream().filter(each -> each instanceof ControlAction.OpenSlots))
                    .isEmpty();
            List<SlotId> closed = actions.stream()
                    .filter(each -> each instanceof ControlAction.CloseSlots)
                    .map(each -> (ControlAction.CloseSlots) each)
                    .flatMap(each -> each.slots().stream().map(slot -> new SlotId(each.service(), slot.slot())))
                    .toList();
            assertThat(closed).containsAtLeastElementsIn(suspended.gate.keySet());
        }

        /** Guards against a session that is never ended because no slot names it. */
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
            paused.pausedUntil = cluster.now + 5_000 * ClusterHarness.MS;
            cluster.run(1);
            allServed(BOUND_MS);
            cluster.run(10_000);
            assertThat(paused.saw(ControlAction.Retire.class)).isTrue();
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
        }

        /** Guards against a lease that is lost in a pause which the design allows. */
        @Test
        void shortPauseCostsNothing() {
            start(6, true);
            int leases = count(node(101), ControlAction.LeaseExtended.class, Long.MIN_VALUE);
            node(101).pausedUntil = cluster.now + 700 * ClusterHarness.MS;
            cluster.run(3_000);
            assertThat(count(node(101), ControlAction.LeaseExtended.class, Long.MIN_VALUE))
                    .isEqualTo(leases);
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
        }

        /** Guards against two owners on the two sides of a partition. */
        @Test
        void isolatedOwnerIsReplaced() {
            start(6, true);
            Incarnation isolated = new Incarnation(103);
            cluster.cut = (from, to) -> from.equals(isolated) || to.equals(isolated);
            cluster.run(1_500);
            allServed(BOUND_MS - 1_500);
            cluster.cut = (from, to) -> false;
            cluster.run(15_000);
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
        }

        /** Guards against two owners when each half of the cluster believes the other is lost. */
        @Test
        void halvesNeverShareASlot() {
            start(8, true);
            cluster.logUp = false;
            cluster.cut = (from, to) -> from.id() < 104 != to.id() < 104;
            cluster.run(8_000);
            cluster.cut = (from, to) -> false;
            cluster.logUp = true;
            cluster.run(30_000);
        }

        /** Guards against a companion that falls behind because only it cannot read the log. */
        @Test
        void recordsAreRelayed() {
            start(4, true);
            Node behind = node(103);
            behind.readsLog = false;
            cluster.append(new LogRecord.CustomerRemoved(1, "customer", "operator"));
            cluster.runUntil(
                    "the record is relayed", 3_000, () -> behind.plane.state().configVersion() == 2);
        }

        /** Guards against a release that is promised under a view older than the requester's. */
        @Test
        void ownerBehindTheLogStillReleases() {
            start(6, true);
            Node behind = node(101);
            behind.readsLog = false;
            cluster.append(new LogRecord.DrainRequested(behind.id, "operator"));
            cluster.runUntil("all slots have moved", 3_000, () -> behind.gate.isEmpty());
            allServed(50);
            assertThat(behind.plane.state().session(behind.id).orElseThrow().draining())
                    .isTrue();
        }

        /** Guards against holders that keep witnesses which restarted, until too few are left to renew. */
        @Test
        void lostWitnessesAreReplaced() {
            start(8, true);
            for (long id = 100; id < 103; id++) {
                node(id).alive = false;
                cluster.add(200 + id, "domain-" + id % 4);
                cluster.run(6_000);
            }
            cluster.nodes.values().stream().filter(each -> each.alive).forEach(this::hasLiveWitnesses);
            assertThat(cluster.served(SLOTS)).isEqualTo(SLOTS);
        }

        private void hasLiveWitnesses(Node holder) {
            Session session = holder.plane.state().session(holder.id).orElseThrow();
            assertThat(session.witnesses()).hasSize(5);
            session.witnesses()
                    .forEach(each -> assertThat(cluster.nodes.get(each).alive).isTrue());
            assertThat(holder.plane.holdsLease(cluster.now)).isTrue();
        }

        private int count(Node node, Class<?> type, long expiryNs) {
            return (int) node.actions.stream()
                    .filter(type::isInstance)
                    .filter(each -> ((ControlAction.LeaseExtended) each).expiryNs() == expiryNs)
                    .count();
        }
    }

    /** Planned changes. */
    @Nested
    class Planned {

        /** Guards against a stop that leaves slots without owner, or that cuts what runs. */
        @Test
        void stopHandsOverAllSlots() {
            start(6, true);
            Node leaving = node(102);
            leaving.handle(new ControlEvent.StopRequested("operator"));
            long worst = 0;
            while (!leaving.saw(ControlAction.Stopped.class)) {
                worst = Math.max(worst, cluster.runUntil("served", 200, () -> cluster.served(SLOTS) == SLOTS));
                cluster.run(1);
            }
            assertThat(worst).isLessThan(50);
            assertThat(leaving.gate).isEmpty();
            assertThat(node(100).plane.state().isOpen(leaving.id)).isFalse();
        }

        /** Guards against a planned stop that waits for the log, or that makes the standbys wait for the lease. */
        @Test
        void stopWithoutLogGivesTheLeaseUp() {
            start(6, true);
            cluster.logUp = false;
            Node leaving = node(102);
            leaving.handle(new ControlEvent.StopRequested("operator"));
            cluster.runUntil("stopped", 10_000, () -> leaving.saw(ControlAction.Stopped.class));
            assertThat(leaving.gate).isEmpty();
            allServed(100);
        }

        /** Guards against slots that wait for a lease to lapse although their backend server is known to be lost. */
        @Test
        void lostBackendServerGivesTheLeaseUp() {
            start(6, true);
            cluster.logUp = false;
            node(102).handle(new ControlEvent.BackendServerChanged(false));
            allServed(100);
            cluster.run(20_000);
            // Nobody can replace a witness without the log, so the lost one keeps answering until the log is back.
            assertThat(node(102).saw(ControlAction.Retire.class)).isFalse();
            allServed(0);
            cluster.logUp = true;
            cluster.run(10_000);
            assertThat(node(102).saw(ControlAction.Retire.class)).isTrue();
        }

        /** Guards against a drain request whose slots stay where they are. */
        @Test
        void drainMovesSlotsAway() {
            start(6, true);
            cluster.append(new LogRecord.DrainRequested(new Incarnation(103), "operator"));
            cluster.runUntil("drained", 3_000, () -> node(103).gate.isEmpty());
            allServed(50);
        }

        /** Guards against a removed customer that some session never confirms. */
        @Test
        void everySessionConfirmsADeparture() {
            start(4, true);
            cluster.append(new LogRecord.CustomerRemoved(1, "customer", "operator"));
            cluster.run(500);
            Node late = cluster.add(200, "domain-1");
            cluster.run(500);
            assertThat(late.plane
                            .state()
                            .removedCustomer("customer")
                            .orElseThrow()
                            .confirmed())
                    .hasSize(5);
        }
    }

    /** Log answers that are lost, and a log that keeps records for a limited time. */
    @Nested
    class Log {

        /** Guards against an append that takes effect twice, or a witness change whose fate stays open. */
        @Test
        void lostAnswersDoNoHarm() {
            cluster.loseLogAnswers = true;
            start(6, true);
            node(101).alive = false;
            cluster.run(1);
            allServed(BOUND_MS);
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
            Node late = cluster.add(200, "domain-1");
            cluster.run(5_000);
            assertThat(late.plane.state().image())
                    .isEqualTo(node(100).plane.state().image());
            assertThat(late.plane.holdsLease(cluster.now)).isTrue();
        }

        /** Guards against a fresh set of slots that opens twice after the whole cluster saw loss and delay. */
        @Test
        void lossyNetworkKeepsSoleOwners() {
            cluster.lossPercent = 20;
            start(6, false);
            node(101).alive = false;
            cluster.run(1);
            allServed(BOUND_MS + 1_000);
            Map<SlotId, Fence> open = node(100).plane.openSlots();
            assertThat(open).isNotEmpty();
        }
    }
}
