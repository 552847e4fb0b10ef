package org.siskintiller.router.request;

import java.nio.charset.StandardCharsets;

import net.openhft.hashing.LongHashFunction;
import org.siskintiller.router.ingress.CallerRequest;

/** Hash that is equal for repeats of a request by the same caller. */
final class Fingerprint {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Fingerprint() {}

    static long of(CallerRequest request, String caller) {
        String head = request.method() + ' ' + request.uri() + ' ' + caller;
        long seed = HASH.hashBytes(head.getBytes(StandardCharsets.UTF_8));
        return request.body().length == 0 ? seed : LongHashFunction.xx3(seed).hashBytes(request.body());
    }
}
