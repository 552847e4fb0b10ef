package org.siskintiller.router.control;

import java.util.Arrays;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.router.peer.ConfigUpdate;

import static com.google.common.truth.Truth.assertThat;

class ConfigArchiveTest {
    private final ConfigArchive sender = new ConfigArchive();
    private final ConfigArchive receiver = new ConfigArchive();

    @Nested
    class KnownBase {
        /** Guards against a whole configuration for each change. */
        @Test
        void getsASmallUpdate() {
            byte[] first = content(1);
            byte[] second = first.clone();
            second[50_000]++;
            sender.add(3, first);
            receiver.add(3, first);
            sender.add(8, second);
            ConfigUpdate update = sender.updateFrom(3);

            assertThat(update.baseVersion()).isEqualTo(3);
            assertThat(update.bytes()).isLessThan(300);
            assertThat(receiver.contentOf(update).orElseThrow()).isEqualTo(second);
        }
    }

    @Nested
    class UnknownBase {
        /** Guards against a companion that cannot catch up after it missed many versions, or has just started. */
        @Test
        void getsTheWholeConfiguration() {
            for (int version = 1; version <= 20; version++) {
                sender.add(version, content(version));
            }
            for (long behind : new long[] {0, 1, 2, 15}) {
                ConfigUpdate update = sender.updateFrom(behind);

                assertThat(update.baseVersion()).isEqualTo(ConfigUpdate.WHOLE);
                assertThat(receiver.contentOf(update).orElseThrow()).isEqualTo(content(20));
            }
        }

        /** Guards against a difference that is applied to another version than the one it refers to. */
        @Test
        void rejectsADifference() {
            sender.add(3, content(3));
            sender.add(4, content(4));
            receiver.add(2, content(2));

            assertThat(receiver.contentOf(sender.updateFrom(3))).isEqualTo(Optional.empty());
        }
    }

    @Nested
    class Malformed {
        /** Guards against an error because of an update that was cut or is not compressed. */
        @Test
        void isRejected() {
            sender.add(3, content(3));
            byte[] data = sender.updateFrom(0).data();

            assertThat(receiver.contentOf(new ConfigUpdate(3, 0, Arrays.copyOf(data, data.length / 2))))
                    .isEqualTo(Optional.empty());
            assertThat(receiver.contentOf(new ConfigUpdate(3, 0, content(1)))).isEqualTo(Optional.empty());
            assertThat(receiver.contentOf(new ConfigUpdate(3, 0, new byte[0]))).isEqualTo(Optional.empty());
        }

        /** Guards against a small update that takes all memory when it is expanded. */
        @Test
        void doesNotExpandWithoutBound() {
            sender.add(3, new byte[64 * 1024 * 1024]);

            assertThat(receiver.contentOf(sender.updateFrom(0))).isEqualTo(Optional.empty());
        }
    }

    private static byte[] content(int seed) {
        byte[] content = new byte[100_000];
        new Random(seed).nextBytes(content);
        return content;
    }
}
