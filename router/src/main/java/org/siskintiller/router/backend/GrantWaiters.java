package org.siskintiller.router.backend;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.siskintiller.core.lease.KeyHolder;

/** Requests for keys that are assigned to the backend server, until its next heartbeat grants them. */
final class GrantWaiters {
    /** A key that is assigned is granted with the next heartbeat, which comes at least every second. */
    private static final long GRANT_WAIT_NS = 1_200_000_000L;

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

    /** Takes out the requests whose keys are held now. */
    List<GateCall> takeGranted(long nowNs) {
        return take(call -> keys.serves(call.request().key(), nowNs));
    }

    /** Takes out the requests that cannot be served in time any more, or whose key went elsewhere. */
    List<GateCall> takeHopeless(long nowNs, double leastServiceNs) {
        return take(call -> !keys.isAssigned(call.request().key())
                || call.request().deadlineNs() - nowNs < leastServiceNs
                || nowNs - call.arrivedNs() > waitNs(call));
    }

    /** Half of the time until the objective, since the request still has to be served then. */
    private static long waitNs(GateCall call) {
        return Math.min(GRANT_WAIT_NS, (call.request().objectiveNs() - call.arrivedNs()) / 2);
    }

    private List<GateCall> take(Predicate<GateCall> which) {
        List<GateCall> taken = new ArrayList<>();
        calls.removeIf(call -> which.test(call) && taken.add(call));
        return taken;
    }
}
