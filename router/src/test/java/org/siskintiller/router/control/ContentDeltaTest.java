package org.siskintiller.router.control;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ContentDeltaTest {
    private static final int MAX_BYTES = 1_000_000;
    private static final int SEEDS = 300;

    @Nested
    class RoundTrip {
        /** Guards against a configuration that differs from the one that the operator wrote. */
        @Test
        void givesTheTargetAfterRandomChanges() {
            for (int seed = 0; seed < SEEDS; seed++) {
                Random random = new Random(seed);
                byte[] base = randomContent(random, random.nextInt(5_000));
                byte[] target = changed(base, random);
                byte[] delta = ContentDelta.encode(base, target);

                assertWithMessage("seed %s", seed)
                        .that(ContentDelta.apply(base, delta, MAX_BYTES).orElseThrow())
                        .isEqualTo(target);
            }
        }

        /** Guards against a difference that is as large as the content. */
        @Test
        void isSmallForOneChange() {
            byte[] base = randomContent(new Random(1), 250_000);
            byte[] target = base.clone();
            target[100_000]++;

            assertThat(ContentDelta.encode(base, target).length).isLessThan(200);
        }
    }

    @Nested
    class Malformed {
        /** Guards against an error, or a content without bound, because of a message that was damaged. */
        @Test
        void isRejectedOrBounded() {
            for (int seed = 0; seed < SEEDS; seed++) {
                Random random = new Random(seed);
                byte[] base = randomContent(random, 1_000);
                byte[] delta = ContentDelta.encode(base, changed(base, random));
                delta[random.nextInt(delta.length)] = (byte) random.nextInt();
                byte[] cut = Arrays.copyOf(delta, random.nextInt(delta.length));

                assertBounded(ContentDelta.apply(base, delta, 1_500));
                assertBounded(ContentDelta.apply(base, cut, 1_500));
            }
        }

        /** Guards against a copy that reads behind the base. */
        @Test
        void copyBehindTheBaseIsRejected() {
            byte[] delta = ContentDelta.encode(text("a".repeat(100)), text("a".repeat(100)));

            assertThat(ContentDelta.apply(text("short"), delta, MAX_BYTES)).isEqualTo(Optional.empty());
        }

        private void assertBounded(Optional<byte[]> target) {
            assertThat(target.map(content -> content.length).orElse(0)).isAtMost(1_500);
        }
    }

    private static byte[] randomContent(Random random, int bytes) {
        byte[] content = new byte[bytes];
        // Few values, so that parts repeat.
        for (int i = 0; i < bytes; i++) {
            content[i] = (byte) ('a' + random.nextInt(1 + i % 7));
        }
        return content;
    }

    /** Removes, inserts and repeats parts. */
    private static byte[] changed(byte[] base, Random random) {
        ByteArrayOutputStream target = new ByteArrayOutputStream();
        int changes = random.nextInt(5);
        int at = 0;
        for (int i = 0; i < changes; i++) {
            int to = at + random.nextInt(base.length - at + 1);
            target.write(base, at, to - at);
            byte[] inserted = randomContent(random, random.nextInt(80));
            target.write(inserted, 0, inserted.length);
            at = Math.min(base.length, Math.max(0, to + random.nextInt(200) - 50));
        }
        target.write(base, at, base.length - at);
        return target.toByteArray();
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
