package org.siskintiller.core.idempotency;

import java.util.Locale;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class KeyWindowTest {
    private static final long MAX_TIMESTAMP_MS = (1L << 48) - 1;

    /** Guards against a key that is parsed with a timestamp other than the generated one. */
    @Property(seed = "1")
    void parsesGeneratedKeysWithTheirTimestamp(
            @ForAll @LongRange(min = 0, max = MAX_TIMESTAMP_MS) long timestampMs, @ForAll long high, @ForAll long low) {
        IdempotencyKey key = IdempotencyKey.of(timestampMs, high, low);
        assertThat(IdempotencyKey.parse(key.text())).hasValue(key);
        assertThat(IdempotencyKey.parse(key.text().toUpperCase(Locale.ROOT))).hasValue(key);
        assertThat(key.timestampMs()).isEqualTo(timestampMs);
    }

    /** Guards against a record that is dropped while a companion with a slower clock still accepts its key. */
    @Property(seed = "1")
    void dropsRecordsOnlyWhenNoClockAcceptsTheKey(
            @ForAll @LongRange(min = 0, max = 1L << 40) long timestampMs,
            @ForAll @IntRange(min = 1, max = 10_000_000) int windowMs,
            @ForAll @IntRange(max = 60_000) int skewMs,
            @ForAll @LongRange(min = 0, max = 1L << 24) long afterExpiryMs,
            @ForAll @IntRange(min = 0, max = 60_000) int otherSkewMs) {
        KeyWindow window = new KeyWindow(windowMs, skewMs);
        long dropMs = window.expiryMs(timestampMs) + afterExpiryMs;
        long otherWallMs = dropMs - Math.min(skewMs, otherSkewMs);
        assertThat(window.contains(timestampMs, otherWallMs)).isFalse();
    }

    /** Guards against keys of another format, whose age is unknown. */
    @Test
    void rejectsOtherFormats() {
        assertThat(IdempotencyKey.parse(null)).isEmpty();
        assertThat(IdempotencyKey.parse("1-1-7-8-1")).isEmpty();
        assertThat(IdempotencyKey.parse("4b6a2f1e-0000-4000-8000-000000000000")).isEmpty();
    }
}
