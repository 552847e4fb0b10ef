package org.siskintiller.standin.caller;

import java.security.SecureRandom;
import java.util.SplittableRandom;
import java.util.UUID;

/** Generates UUIDs of version 7. They ignore the seed of a run, since callers with one seed must not share keys. */
final class IdempotencyKeys {
    private static final long VERSION_7 = 0x7000L;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final int TIMESTAMP_SHIFT = 16;
    private static final long RANDOM_A_MASK = 0x0fffL;
    private static final long RANDOM_B_MASK = 0x3fff_ffff_ffff_ffffL;

    private final SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());

    synchronized String next(long wallMs) {
        long high = wallMs << TIMESTAMP_SHIFT | VERSION_7 | random.nextLong() & RANDOM_A_MASK;
        long low = VARIANT | random.nextLong() & RANDOM_B_MASK;
        return new UUID(high, low).toString();
    }
}
