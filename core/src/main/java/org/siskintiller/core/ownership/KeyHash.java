package org.siskintiller.core.ownership;

import java.nio.charset.StandardCharsets;

import net.openhft.hashing.LongHashFunction;

/** Maps keys to hash slots. Every companion must use the same function, so seed and encoding are fixed. */
public final class KeyHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3(0x5349534B494E3031L);

    private KeyHash() {}

    /** Returns the slot of a key, or of an idempotency key, among the slots of a service. */
    public static int slotOf(String service, String key, int slots) {
        if (slots < 1) {
            throw new IllegalArgumentException("service " + service + " has no slots; publish its configuration");
        }
        return (int) Long.remainderUnsigned(hash(service, key), slots);
    }

    /** Returns the 64-bit hash of a key of a service. */
    public static long hash(String service, String key) {
        byte[] name = service.getBytes(StandardCharsets.UTF_8);
        byte[] value = key.getBytes(StandardCharsets.UTF_8);
        byte[] both = new byte[name.length + 1 + value.length];
        System.arraycopy(name, 0, both, 0, name.length);
        System.arraycopy(value, 0, both, name.length + 1, value.length);
        return HASH.hashBytes(both);
    }
}
