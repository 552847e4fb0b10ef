package org.siskintiller.router.backend;

import java.util.List;

import org.siskintiller.core.path.RequestKind;
import org.siskintiller.router.request.ForwardedRequest;

/** Requests for the tests of this package. */
final class Calls {
    static final long MS = 1_000_000;
    static final long OBJECTIVE_NS = 500 * MS;
    static final long DEADLINE_NS = 3_000 * MS;

    private Calls() {}

    static ForwardedRequest request(int key) {
        return request(key, false);
    }

    static ForwardedRequest request(int key, boolean internal) {
        return new ForwardedRequest(
                "id",
                "service",
                "GET",
                "/",
                List.of(),
                new byte[0],
                DEADLINE_NS,
                OBJECTIVE_NS,
                2,
                RequestKind.IDEMPOTENT,
                internal,
                key,
                0);
    }

    static GateCall call(ForwardedRequest request, long arrivedNs) {
        return new GateCall(null, request, null, QueuePlace.of(request, arrivedNs), 0, arrivedNs);
    }
}
