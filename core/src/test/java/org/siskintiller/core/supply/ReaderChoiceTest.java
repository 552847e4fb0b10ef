package org.siskintiller.core.supply;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.supply.ReaderChoice.Companion;

import static com.google.common.truth.Truth.assertThat;

class ReaderChoiceTest {
    @Nested
    class Readers {
        /** Guards against reads that grow with the fleet: each record would cost a call of every companion. */
        @Test
        void doNotGrowWithTheFleet() {
            assertThat(ReaderChoice.readers(fleet(95, 6))).hasSize(6);
            assertThat(ReaderChoice.readers(fleet(5_200, 4))).hasSize(ReaderChoice.MIN_READERS);
        }

        /** Guards against a failure domain that must be supplied from another one. */
        @Test
        void areInEachFailureDomain() {
            List<Companion> fleet = fleet(95, 6);
            Set<String> readers = ReaderChoice.readers(fleet);

            assertThat(fleet.stream()
                            .filter(companion -> readers.contains(companion.instance()))
                            .map(Companion::failureDomain)
                            .distinct())
                    .hasSize(6);
        }

        /** Guards against a lost reader that nobody replaces, and against a loss that changes all readers. */
        @Test
        void areReplacedOneByOne() {
            List<Companion> fleet = fleet(30, 3);
            Set<String> before = ReaderChoice.readers(fleet);
            String lost = before.iterator().next();
            fleet.removeIf(companion -> companion.instance().equals(lost));

            Set<String> after = ReaderChoice.readers(fleet);

            assertThat(after).hasSize(ReaderChoice.MIN_READERS);
            assertThat(after.stream().filter(before::contains).count()).isEqualTo(ReaderChoice.MIN_READERS - 1);
        }

        /** Guards against a domain that is not supplied, or reads as a whole, while its reader is turned away. */
        @Test
        void areReplacedWhileTheyDoNotReachTheStore() {
            List<Companion> fleet = fleet(30, 3);
            Set<String> before = ReaderChoice.readers(fleet);
            String turnedAway = before.iterator().next();
            fleet.replaceAll(companion -> companion.instance().equals(turnedAway) ? outOfReach(companion) : companion);

            Set<String> after = ReaderChoice.readers(fleet);

            assertThat(after).hasSize(ReaderChoice.MIN_READERS);
            assertThat(after).doesNotContain(turnedAway);
            assertThat(after.stream().filter(before::contains).count()).isEqualTo(ReaderChoice.MIN_READERS - 1);
            assertThat(ReaderChoice.readers(
                            fleet.stream().map(ReaderChoiceTest::outOfReach).toList()))
                    .isEqualTo(before);
        }

        /** Guards against a companion that reads nothing although it is alone. */
        @Test
        void includeACompanionThatIsAlone() {
            assertThat(ReaderChoice.readers(fleet(1, 1))).containsExactly("machine-0");
        }
    }

    @Nested
    class Distributor {
        /** Guards against several readers that send a large content to the same companions, and against none. */
        @Test
        void isOneReaderOfTheDomain() {
            for (int domains = 1; domains <= 6; domains++) {
                List<Companion> fleet = fleet(30, domains);
                Set<String> readers = ReaderChoice.readers(fleet);
                for (Companion companion : fleet) {
                    String distributor = ReaderChoice.distributor(companion.failureDomain(), fleet, readers)
                            .orElseThrow();

                    assertThat(readers).contains(distributor);
                    assertThat(fleet).contains(new Companion(distributor, companion.failureDomain(), 500, true));
                }
            }
        }
    }

    @Nested
    class Supply {
        /** Guards against a companion that waits for readers that the store turns away. */
        @Test
        void needsAReaderThatReachesTheStore() {
            List<Companion> reachable = fleet(30, 3);
            Set<String> readers = ReaderChoice.readers(reachable);
            List<Companion> unreachable = reachable.stream()
                    .map(companion -> new Companion(companion.instance(), companion.failureDomain(), 20_000, true))
                    .toList();

            assertThat(ReaderChoice.hasSupplier(reachable.get(0), reachable, readers))
                    .isTrue();
            assertThat(ReaderChoice.hasSupplier(unreachable.get(0), unreachable, readers))
                    .isFalse();
        }
    }

    @Nested
    class ReaderOutOfReach {
        /** Guards against a companion that waits for seconds until the last contact of its reader is old. */
        @Test
        void isNoSupplier() {
            List<Companion> fleet =
                    fleet(30, 3).stream().map(ReaderChoiceTest::outOfReach).toList();

            assertThat(ReaderChoice.hasSupplier(fleet.get(0), fleet, ReaderChoice.readers(fleet)))
                    .isFalse();
        }
    }

    @Nested
    class CutOffReader {
        /** Guards against a domain that waits for readers of other domains, which pass nothing on to it. */
        @Test
        void ofTheOwnDomainIsNoSupplier() {
            List<Companion> fleet = new ArrayList<>(fleet(30, 6));
            Set<String> readers = ReaderChoice.readers(fleet);
            Companion self = fleet.stream()
                    .filter(companion -> !readers.contains(companion.instance()))
                    .findFirst()
                    .orElseThrow();
            fleet.replaceAll(companion -> companion.failureDomain().equals(self.failureDomain())
                    ? new Companion(companion.instance(), companion.failureDomain(), 20_000, true)
                    : companion);

            assertThat(ReaderChoice.hasSupplier(self, fleet, readers)).isFalse();
        }
    }

    private static Companion outOfReach(Companion companion) {
        return new Companion(companion.instance(), companion.failureDomain(), companion.storeAgeMs(), false);
    }

    private static List<Companion> fleet(int size, int domains) {
        List<Companion> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            fleet.add(new Companion("machine-" + i, "domain-" + i % domains, 500, true));
        }
        return fleet;
    }
}
