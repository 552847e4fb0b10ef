package org.siskintiller.core.idempotency;

import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * Idempotency key of a caller, a UUID version 7.
 *
 * @param text canonical lower-case form, so that a UUID is the same key however it is spelled
 * @param timestampMs time at which the caller generated the key, in ms since the Unix epoch
 */
public record IdempotencyKey(String text, long timestampMs) {
    private static final Pattern FORM =
            Pattern.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");
    private static final int TIMESTAMP_SHIFT = 16;

    public IdempotencyKey {
        Objects.requireNonNull(text, "text");
    }

    /** Returns the key, or empty if the text is not a UUID version 7. */
    public static Optional<IdempotencyKey> parse(String text) {
        if (text == null || !FORM.matcher(text).matches()) {
            return Optional.empty();
        }
        UUID uuid = UUID.fromString(text);
        return Optional.of(new IdempotencyKey(uuid.toString(), uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT));
    }

    /** Generates a key from a time and random bits, for a request without an idempotency key. */
    public static IdempotencyKey of(long timestampMs, long randomHigh, long randomLow) {
        long high = timestampMs << TIMESTAMP_SHIFT | 0x7000L | randomHigh & 0x0fffL;
        long low = randomLow & 0x3fffffffffffffffL | 0x8000000000000000L;
        return new IdempotencyKey(new UUID(high, low).toString(), timestampMs & 0xffffffffffffL);
    }
}
