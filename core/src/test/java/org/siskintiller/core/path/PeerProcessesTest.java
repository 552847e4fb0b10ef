package org.siskintiller.core.path;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.path.PeerProcesses.Standing;

import static com.google.common.truth.Truth.assertThat;

class PeerProcessesTest {
    private static final Incarnation FIRST = new Incarnation(7);
    private static final Incarnation SECOND = new Incarnation(3);

    private final PeerProcesses processes = new PeerProcesses();

    @Nested
    class OneProcess {
        /** Guards against the end of requests on a silent connection when its process connects again. */
        @Test
        void mayHaveSeveralConnections() {
            processes.introduced("a", FIRST, 1);

            assertThat(processes.introduced("a", FIRST, 2)).isEqualTo(Standing.IN_FORCE);
        }

        @Test
        void isIndependentOfOtherInstances() {
            processes.introduced("a", FIRST, 1);

            assertThat(processes.introduced("b", SECOND, 2)).isEqualTo(Standing.IN_FORCE);
        }
    }

    @Nested
    class Restart {
        @Test
        void endsTheEarlierProcess() {
            processes.introduced("a", FIRST, 1);

            assertThat(processes.introduced("a", SECOND, 2)).isEqualTo(Standing.SUCCESSOR);
        }

        /** Guards against a message of an ended process that a link held up. */
        @Test
        void keepsOutAnIntroductionThatWasHeldUp() {
            processes.introduced("a", SECOND, 2);

            assertThat(processes.introduced("a", FIRST, 1)).isEqualTo(Standing.ENDED);
        }

        /** Guards against an earlier connection of the successor that lets its predecessor in between. */
        @Test
        void countsFromTheNewestConnection() {
            processes.introduced("a", SECOND, 1);
            processes.introduced("a", SECOND, 4);
            processes.introduced("a", SECOND, 2);

            assertThat(processes.introduced("a", FIRST, 3)).isEqualTo(Standing.ENDED);
        }
    }
}
