package org.siskintiller.measure.random;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class RandomRunsTest {
    private static final long DURATION_MS = 40_000;

    @Nested
    class Invariants {

        /** Guards against coinciding faults that violate an invariant, and against runs that do not inject them. */
        @Test
        void holdUnderCoincidingFaults() {
            RandomRuns runs = new RandomRuns(DURATION_MS);
            for (long seed = 1; seed <= 10; seed++) {
                Optional<RandomRuns.Failure> failure = runs.run(seed);
                assertWithMessage("seed %s: %s", seed, failure)
                        .that(failure.isEmpty())
                        .isTrue();
            }
            List<String> expectedEvents = List.of(
                    "notice CLAIM_GRANTED",
                    "notice SLOTS_RELEASED",
                    "incarnation retired",
                    "planned stop completed",
                    "records to standby",
                    "records to log",
                    "requests stream read",
                    "replayed",
                    "late append",
                    "lost answer",
                    "server crashed",
                    "notice WITNESSES_CHANGED",
                    "notice SNAPSHOT_PROPOSED",
                    "fault operator_race",
                    "fault lose_domain",
                    "fault cut_inbound");
            for (String event : expectedEvents) {
                assertWithMessage("the runs did not reach: %s%n%s", event, runs.counts())
                        .that(runs.count(event))
                        .isGreaterThan(0);
            }
        }
    }

    @Nested
    class BrokenMechanisms {

        /** Guards against checks that never fail: with a mechanism broken, the check of its invariant must fail. */
        @ParameterizedTest
        @CsvSource({
            "GRANT_ALL_CLAIMS, SOLE_OWNER",
            "FORGET_RECORDS, AT_MOST_ONCE",
            "REPORT_NOT_RUN, NOT_RUN_IS_TRUE",
            "STOP_AT_ONCE, GRACEFUL_STOP",
            "IGNORE_DRAIN, NO_WORK_WHEN_LEAVING",
            "SKIP_CONFIGURATION, CONFIG_NEVER_REVERTS"
        })
        void areDetected(Mutation mutation, String invariant) {
            RandomRuns runs = new RandomRuns(DURATION_MS, FaultSettings.DEFAULT.withMutation(mutation));
            boolean isDetected = false;
            for (long seed = 1; seed <= 12 && !isDetected; seed++) {
                isDetected = runs.runUnreduced(seed)
                        .filter(failure -> failure.message().contains(invariant))
                        .isPresent();
            }
            assertWithMessage("%s with %s", invariant, mutation)
                    .that(isDetected)
                    .isTrue();
        }
    }

    @Nested
    class Recovery {

        /** Guards against slots that have no owner for longer than the target of 2 s after a loss. */
        @Test
        void everyLossIsRecoveredWithinTheTarget() {
            for (RecoveryExperiment.Kind kind : RecoveryExperiment.Kind.values()) {
                if (kind != RecoveryExperiment.Kind.PLANNED_STOP) {
                    RecoveryExperiment.Result result = RecoveryExperiment.run(kind, 40, 2_000);
                    assertThat(result.slots()).isGreaterThan(0);
                    assertWithMessage("%s: %s", kind, result)
                            .that(result.runsOverTarget())
                            .isEqualTo(0);
                }
            }
        }
    }
}
