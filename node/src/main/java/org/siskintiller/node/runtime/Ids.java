package org.siskintiller.node.runtime;

import java.security.SecureRandom;
import java.util.UUID;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.RequestId;

/** Generates random ids. */
final class Ids {
    private static final SecureRandom RANDOM = new SecureRandom();

    private Ids() {}

    static RequestId requestId() {
        return new RequestId(RANDOM.nextLong(), RANDOM.nextLong());
    }

    static OperationId operationId() {
        return new OperationId(RANDOM.nextLong(), RANDOM.nextLong());
    }

    /** Returns a random incarnation other than 0, which connections reserve for a companion that is not identified yet. */
    static Incarnation incarnation() {
        long id = RANDOM.nextLong();
        return new Incarnation(id == 0 ? 1 : id);
    }

    static long seed() {
        return RANDOM.nextLong();
    }

    /** Returns a UUID version 7 (RFC 9562) with the given time. */
    static String uuidVersion7(long wallMs) {
        long high = wallMs << 16 | 0x7000L | RANDOM.nextLong() & 0x0fffL;
        long low = RANDOM.nextLong() & 0x3fffffffffffffffL | 0x8000000000000000L;
        return new UUID(high, low).toString();
    }
}
