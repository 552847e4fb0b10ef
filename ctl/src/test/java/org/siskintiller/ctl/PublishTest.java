package org.siskintiller.ctl;

import java.nio.file.Path;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.ctl.FakeLog.AppendBehaviour;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a publication or preset switch whose report differs from its outcome in the log. */
class PublishTest {
    private static final String CHANGED = CtlRig.CONFIG.replace("weight = 2", "weight = 3");

    @TempDir
    private Path folder;

    private CtlRig rig;
    private String file;

    @BeforeEach
    void publishFirstVersion() {
        rig = new CtlRig().withSessions(0);
        file = CtlRig.write(folder, CHANGED);
    }

    @Test
    void firstPublicationTakesThePresetOfTheFile() {
        CtlRig fresh = new CtlRig();

        assertThat(fresh.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.OK);
        assertThat(fresh.json().path("version").asLong()).isEqualTo(1);
        assertThat(fresh.json().path("activePreset").asText()).isEqualTo("ordinary");
    }

    @Test
    void publishesChangesWithVersionAndOffset() {
        assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.OK);
        assertThat(rig.json().path("version").asLong()).isEqualTo(2);
        assertThat(rig.json().path("offset").asLong()).isEqualTo(1);
        assertThat(rig.json().path("changes").get(0).path("to").asText()).isEqualTo("3");
        assertThat(rig.run("config", "diff", file)).isEqualTo(ExitCode.OK);
        assertThat(rig.json().path("outcome").asText()).isEqualTo("equal");
    }

    @Test
    void appendsNothingWithoutChanges() {
        assertThat(rig.runAs("anna", "config", "publish", CtlRig.write(folder, CtlRig.CONFIG)))
                .isEqualTo(ExitCode.OK);
        assertThat(rig.log.size()).isEqualTo(1);
    }

    @Test
    void keepsThePresetThatAnOperatorSwitchedTo() {
        rig.runAs("berta", "preset", "switch", "peak");

        assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.OK);
        assertThat(rig.json().path("activePreset").asText()).isEqualTo("peak");
        assertThat(rig.runAs("anna", "config", "publish", "--switch-preset", file))
                .isEqualTo(ExitCode.OK);
        assertThat(rig.json().path("activePreset").asText()).isEqualTo("ordinary");
    }

    @Test
    void refusesAFileWithoutThePresetInForce() {
        rig.runAs("berta", "preset", "switch", "peak");
        String text = CHANGED.replace("[preset peak]\n", "")
                .replace("[preset peak rank", "[preset ordinary rank")
                .replace("[preset ordinary rank urgent]\nguaranteed_share_percent = 80\n", "");

        assertThat(rig.runAs("anna", "config", "publish", CtlRig.write(folder, text)))
                .isEqualTo(ExitCode.INVALID);
        assertThat(rig.json().path("problems").get(0).path("key").asText()).isEqualTo("active_preset");
    }

    @Test
    void refusesTheReturnOfARemovedCustomerUnlessAllowed() {
        rig.log.add(new LogRecord.CustomerRemoved(1, "growers", "berta"));

        assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.INVALID);
        assertThat(rig.log.size()).isEqualTo(2);
        assertThat(rig.runAs("anna", "config", "publish", "--readmit", "growers", file))
                .isEqualTo(ExitCode.OK);
    }

    @Test
    void reportsAllProblemsOfAFile() {
        String broken =
                CtlRig.write(folder, CHANGED.replace("order = 0", "order = x").replace("= 60", "= 101"));

        assertThat(rig.runAs("anna", "config", "publish", broken)).isEqualTo(ExitCode.INVALID);
        assertThat(rig.json().path("problems")).hasSize(2);
        assertThat(rig.runPlain("config", "validate", broken)).isEqualTo(ExitCode.INVALID);
        assertThat(rig.err()).contains("[rank urgent] order: 'x' is not a whole number; use 0 to 1000");
    }

    @Nested
    class Race {

        @Test
        void namesTheWinnerInTheConflict() {
            rig.log.beforeNextAppend(() -> rig.log.add(new LogRecord.PresetSwitched(1, "peak", "berta")));

            assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.CONFLICT);
            assertThat(rig.json().path("winner").asText()).isEqualTo("berta");
            assertThat(rig.json().path("winnerOffset").asLong()).isEqualTo(1);
            assertThat(rig.json().path("currentVersion").asLong()).isEqualTo(2);
            assertThat(rig.json().path("remedy").asText()).contains("config diff");
            rig.run("config", "show");
            assertThat(rig.json().path("config").asText()).contains("weight = 2");
        }

        @Test
        void outdatedBaseAppendsNothing() {
            assertThat(rig.runAs("anna", "config", "publish", "--base", "0", file))
                    .isEqualTo(ExitCode.CONFLICT);
            assertThat(rig.runAs("anna", "preset", "switch", "--base", "0", "peak"))
                    .isEqualTo(ExitCode.CONFLICT);
            assertThat(rig.log.size()).isEqualTo(1);
        }

        @Test
        void lostResponseOfTheLoserIsAConflict() {
            rig.log.beforeNextAppend(() -> rig.log.add(new LogRecord.PresetSwitched(1, "peak", "berta")));
            rig.log.nextAppends(AppendBehaviour.STORE_WITHOUT_RESPONSE);

            assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.CONFLICT);
        }
    }

    @Nested
    class LostResponse {

        @Test
        void isSuccessWhenTheRecordIsInTheLog() {
            rig.log.nextAppends(AppendBehaviour.STORE_WITHOUT_RESPONSE);

            assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.OK);
            assertThat(rig.log.size()).isEqualTo(2);
        }

        @Test
        void takesTheFirstOfTwoStoredRecords() {
            rig.log.nextAppends(AppendBehaviour.STORE_LATER_WITHOUT_RESPONSE, AppendBehaviour.STORE);

            assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.OK);
            assertThat(rig.json().path("offset").asLong()).isEqualTo(1);
            assertThat(rig.log.size()).isEqualTo(3);
        }

        @Test
        void isUnknownWhenNoAttemptIsInTheLog() {
            rig.log.nextAppends(
                    AppendBehaviour.LOSE,
                    AppendBehaviour.LOSE,
                    AppendBehaviour.LOSE,
                    AppendBehaviour.LOSE,
                    AppendBehaviour.LOSE);

            assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.UNKNOWN);
            assertThat(rig.json().path("lookAgain").asText())
                    .isEqualTo("siskinctl audit --operation " + rig.operationId(1));
            assertThat(rig.run("audit", "--operation", rig.operationId(1))).isEqualTo(ExitCode.UNKNOWN);
        }

        @Test
        void isFoundLaterByItsOperationId() {
            rig.log.nextAppends(
                    AppendBehaviour.LOSE,
                    AppendBehaviour.LOSE,
                    AppendBehaviour.LOSE,
                    AppendBehaviour.LOSE,
                    AppendBehaviour.STORE_LATER_WITHOUT_RESPONSE);
            assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.UNKNOWN);

            assertThat(rig.run("audit", "--operation", rig.operationId(1))).isEqualTo(ExitCode.OK);
            assertThat(rig.json().path("records").get(0).path("outcome").asText())
                    .isEqualTo("accepted");
        }

        @Test
        void refusalAfterALostResponseIsUnknown() {
            rig.log.nextAppends(
                    AppendBehaviour.LOSE,
                    AppendBehaviour.REFUSE,
                    AppendBehaviour.REFUSE,
                    AppendBehaviour.REFUSE,
                    AppendBehaviour.REFUSE);

            assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.UNKNOWN);
        }

        @Test
        void storedRecordThatCannotBeReadBackIsUnknown() {
            rig.log.setDownAfterAppend();

            assertThat(rig.runAs("anna", "config", "publish", file)).isEqualTo(ExitCode.UNKNOWN);
            assertThat(rig.log.size()).isEqualTo(2);
        }
    }

    @Test
    void refusedAppendAndLogDownChangeNothing() {
        rig.log.nextAppends(AppendBehaviour.REFUSE);
        assertThat(rig.runAs("anna", "preset", "switch", "peak")).isEqualTo(ExitCode.UNAVAILABLE);
        rig.log.setDown(true);
        assertThat(rig.runAs("anna", "preset", "switch", "peak")).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(rig.log.size()).isEqualTo(1);
    }

    @Test
    void refusesAnUnknownPreset() {
        assertThat(rig.runAs("anna", "preset", "switch", "none")).isEqualTo(ExitCode.REFUSED);
    }

    @Test
    void changesNeedAnOperator() {
        assertThat(rig.runAs("no name", "preset", "switch", "peak")).isEqualTo(ExitCode.USAGE);
        assertThat(rig.log.size()).isEqualTo(1);
    }
}
