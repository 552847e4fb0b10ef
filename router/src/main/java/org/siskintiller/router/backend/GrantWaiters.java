package org.siskintiller.router.backend;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.siskintiller.core.lease.KeyHolder;

/** Requests that wait for the next heartbeat to grant their keys, which are assigned to the backend server already. */
final class GrantWaiters {
    /** An assigned key is granted with the next heartbeat, which arrives at least every second. */
    private static final long MAX_GRANT_WAIT_NS = 1_200_000_000L;

    private final KeyHolder keys;
    private final Set<GateCall> calls = new LinkedHashSet<>();

    GrantWaiters(KeyHolder keys) {
        this.keys = keys;
    }

    void add(GateCall call) {
        calls.add(call);
    }

    void remove(GateCall call) {
        calls.remove(call);
    }

    int size() {
        return calls.size();
    }

    /** Removes and returns the requests whose keys the backend server holds now. */
    List<GateCall> removeGranted(long nowNs) {
        return removeMatching(call -> keys.serves(call.request().key(), nowNs));
    }

    /** Removes and returns the requests that can no longer be served in time or whose key is assigned elsewhere. */
    List<GateCall> removeUnservable(long nowNs, double minServiceNs) {
        return removeMatching(call -> !keys.isAssigned(call.request().key())
                || call.request().deadlineNs() - nowNs < minServiceNs
                || nowNs - call.arrivedNs() > maxWaitNs(call));
    }

    /** At most half of the time until the objective, since the request still has to be served after the grant. */
    private static long maxWaitNs(GateCall call) {
        return Math.min(MAX_GRANT_WAIT_NS, (call.request().objectiveNs() - call.arrivedNs()) / 2);
    }

    private List<GateCall> removeMatching(Predicate<GateCall> condition) {
        List<GateCall> removed = new ArrayList<>();
        calls.removeIf(call -> condition.test(call) && removed.add(call));
        return removed;
    }
}
