package org.siskintiller.core.spread;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PatienceTest {
    /** Time within which a configuration must be in force on the deployments with the shortest bound. */
    private static final long BOUND_MS = 2_000;

    private static final int SMALL_BYTES = 400;
    private static final int LARGE_BYTES = 45_000;
    private static final double RANDOM = 0.5;

    private final Patience patience = new Patience();

    @Nested
    class CutOff {
        /** Guards against a wait that grew while no companion responded and outlasts the end of the cut by seconds. */
        @Test
        void contentIsRequestedSoonAfterTheEnd() {
            patience.newerVersionKnown("reader", 7, SMALL_BYTES, ns(0));
            long endMs = 9_000;
            for (long ms = 0; ms < endMs; ms += 100) {
                patience.step(ns(ms), RANDOM);
            }
            patience.companionConnected(ns(endMs));
            patience.newerVersionKnown("other", 7, SMALL_BYTES, ns(endMs));

            Set<String> asked = new HashSet<>();
            for (long ms = endMs; ms <= endMs + BOUND_MS / 4; ms += 100) {
                patience.step(ns(ms), RANDOM).askedCompanion().ifPresent(asked::add);
            }
            assertThat(asked).contains("other");
        }
    }

    @Nested
    class Lost {
        /** Guards against a companion that waits for a lost relay until the configuration must be in force. */
        @Test
        void contentIsRequestedInHalfOfTheBound() {
            for (int bytes : new int[] {SMALL_BYTES, LARGE_BYTES, 250_000}) {
                Patience fresh = new Patience();
                fresh.newerVersionKnown("reader", 7, bytes, ns(0));

                assertThat(fresh.step(ns(BOUND_MS / 2), RANDOM).askedCompanion())
                        .isEqualTo(Optional.of("reader"));
            }
        }

        /** Guards against a companion that relies on one other, which may be frozen. */
        @Test
        void contentIsRequestedElsewhereAndFromTheStore() {
            patience.newerVersionKnown("first", 7, SMALL_BYTES, ns(0));
            patience.newerVersionKnown("second", 7, SMALL_BYTES, ns(10));
            Set<String> asked = new HashSet<>();
            boolean readsStore = false;
            for (long ms = 0; ms <= BOUND_MS / 2; ms += 100) {
                Patience.Step step = patience.step(ns(ms), RANDOM);
                step.askedCompanion().ifPresent(asked::add);
                readsStore |= step.readsStore();
            }

            assertThat(asked).containsExactly("first", "second");
            assertThat(readsStore).isTrue();
        }

        /** Guards against a wait that begins again with each version, so that a series of them hides the loss. */
        @Test
        void contentIsRequestedDuringASeriesOfVersions() {
            Optional<String> asked = Optional.empty();
            for (long ms = 0; ms < BOUND_MS; ms += 100) {
                patience.newerVersionKnown("reader", 7 + ms, LARGE_BYTES, ns(ms));
                Optional<String> now = patience.step(ns(ms), RANDOM).askedCompanion();
                asked = asked.isPresent() ? asked : now;
            }

            assertThat(asked).isPresent();
        }

        /** Guards against requests that keep a saturated link busy with copies of the same content. */
        @Test
        void contentIsRequestedLessAndLessOften() {
            int requests = 0;
            for (int i = 0; i < 16; i++) {
                patience.newerVersionKnown("reader-" + i, 7, LARGE_BYTES, ns(0));
            }
            for (long ms = 0; ms < 15_000; ms += 100) {
                requests += patience.step(ns(ms), RANDOM).askedCompanion().isPresent() ? 1 : 0;
            }

            assertThat(requests).isAtMost(6);
        }

        /** Guards against a difference without its base that delays the configuration. */
        @Test
        void unusableContentIsReplacedAtOnce() {
            patience.newerVersionKnown("reader", 7, LARGE_BYTES, ns(0));
            patience.contentUnusable(ns(5));

            assertThat(patience.step(ns(5), RANDOM).askedCompanion()).isPresent();
        }
    }

    @Nested
    class OnItsWay {
        /** Guards against a second copy over links that are busy with the first one. */
        @Test
        void contentIsNotRequested() {
            patience.newerVersionKnown("reader", 7, LARGE_BYTES, ns(0));

            assertThat(patience.step(ns(900), RANDOM)).isEqualTo(Patience.Step.WAIT);
        }

        /** Guards against a request for what is in force already. */
        @Test
        void contentEndsTheWait() {
            patience.newerVersionKnown("reader", 7, SMALL_BYTES, ns(0));
            patience.inForce(7);

            assertThat(patience.isBehind()).isFalse();
            assertThat(patience.step(ns(5_000), RANDOM)).isEqualTo(Patience.Step.WAIT);
        }

        /** Guards against a newer version that is forgotten when an older one arrives. */
        @Test
        void olderContentDoesNotEndTheWait() {
            patience.newerVersionKnown("reader", 7, SMALL_BYTES, ns(0));
            patience.inForce(6);

            assertThat(patience.isBehind()).isTrue();
        }
    }

    private static long ns(long ms) {
        return TimeUnit.SECONDS.toNanos(100) + TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
