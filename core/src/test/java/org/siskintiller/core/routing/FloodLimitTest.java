package org.siskintiller.core.routing;

import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.gate.DispatchOutcome;
import org.siskintiller.core.gate.Gate;
import org.siskintiller.core.gate.GateDecision;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.gate.GateRequest;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestId;

import static com.google.common.truth.Truth.assertThat;

/** Runs the flood limit against a gate with 12 slots and a mean service time of 10 ms on a virtual clock. */
class FloodLimitTest {
    private static final long MS = 1_000_000;
    private static final double CAPACITY_PER_MS = 1.2;
    private static final Incarnation OWNER = new Incarnation(1);

    private final Gate gate = new Gate(new BackendServer("s", new Address("127.0.0.1", 1), 12, 130), OWNER);
    private final FloodLimit limit = new FloodLimit();
    private final PriorityQueue<Running> running = new PriorityQueue<>();
    private final Random random = new Random(1);
    private long nowMs;
    private long nextId;

    /** Guards against a limit that leaves the owner idle, forwards the flood, or persists long after the flood. */
    @Test
    void followsAdmittedShareOfOwner() {
        gate.handle(new GateEvent.LeaseExtended(Long.MAX_VALUE), 0, 0);
        send(1, 1_000);
        send(12, 3_000);
        int forwarded = send(12, 4_000);
        assertThat((double) forwarded).isAtLeast(1.2 * CAPACITY_PER_MS * 4_000);
        assertThat((double) forwarded).isAtMost(3 * CAPACITY_PER_MS * 4_000);
        send(1, 3_000);
        assertThat(send(1, 1_000)).isAtLeast(990);
    }

    /** Sends perMs requests every ms and returns the number of requests that were forwarded to the owner. */
    private int send(int perMs, int durationMs) {
        int forwarded = 0;
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs++) {
            while (!running.isEmpty() && running.peek().endNs <= nowMs * MS) {
                DispatchOutcome completed = new DispatchOutcome.Answered(200, "", Bytes.EMPTY, MS);
                handle(new GateEvent.Finished(running.poll().id, completed));
            }
            for (int i = 0; i < perMs; i++) {
                if (limit.admits(OWNER, "default", nowMs * MS)) {
                    forwarded++;
                    handle(new GateEvent.Arrived(request()));
                }
            }
            limit.reportAdmittedShare(
                    OWNER, "default", gate.stats().ranks().get(0).admittedShare(), nowMs * MS);
        }
        return forwarded;
    }

    private GateRequest request() {
        RequestId id = new RequestId(0, ++nextId);
        long deadlineNs = (nowMs + 500) * MS;
        return new GateRequest(id, "s", null, "c", "default", true, null, false, 0, deadlineNs, nextId, List.of());
    }

    private void handle(GateEvent event) {
        for (GateDecision decision : gate.handle(event, nowMs * MS, nowMs)) {
            if (decision instanceof GateDecision.Dispatch) {
                long serviceNs = (long) (-Math.log(1 - random.nextDouble()) * 10 * MS);
                running.add(new Running(((GateDecision.Dispatch) decision).id(), nowMs * MS + serviceNs));
            }
        }
    }

    /** Request at the backend server. */
    private record Running(RequestId id, long endNs) implements Comparable<Running> {

        @Override
        public int compareTo(Running other) {
            return Long.compare(endNs, other.endNs);
        }
    }
}
