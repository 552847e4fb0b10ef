package org.siskintiller.ctl;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.ctl.FakeLog.AppendBehaviour;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a departure that is reported as proved while a session may still serve the customer. */
class DepartureTest {
    /** Offset of the removal: after the configuration and three sessions. */
    private static final long REMOVAL = 4;

    private final CtlRig rig = new CtlRig().withSessions(3);

    @Test
    void provesWithConfirmationsAndEnds() {
        rig.log.onWait(this::confirmAndEnd);

        assertThat(rig.runAs("anna", "depart", "growers")).isEqualTo(ExitCode.OK);
        assertThat(rig.json().path("outcome").asText()).isEqualTo("proved");
        assertThat(rig.json().path("removalOffset").asLong()).isEqualTo(REMOVAL);
        assertThat(rig.json().path("sessions").findValuesAsText("evidence"))
                .containsExactly("confirmed", "closed", "ended")
                .inOrder();
        LogRecord last = rig.log.record(rig.log.size() - 1);
        assertThat(last).isEqualTo(new LogRecord.DepartureProved("growers", REMOVAL, List.of(id(1)), "anna"));
    }

    @Test
    void namesMissingSessionsWithoutProof() {
        rig.log.onWait(() -> {
            if (rig.log.size() == REMOVAL + 1) {
                rig.log.add(new LogRecord.DepartureConfirmed("growers", REMOVAL, id(2)));
            }
        });

        assertThat(rig.runAs("anna", "depart", "growers", "--wait-ms", "2000")).isEqualTo(ExitCode.NOT_PROVED);
        assertThat(rig.json().path("sessions").findValuesAsText("evidence"))
                .containsExactly("missing", "confirmed", "missing")
                .inOrder();
        assertThat(rig.log.record(rig.log.size() - 1)).isNotInstanceOf(LogRecord.DepartureProved.class);
        assertThat(rig.runPlain("depart", "growers", "--log", "127.0.0.1:1", "--operator", "anna", "--wait-ms", "0"))
                .isEqualTo(ExitCode.NOT_PROVED);
        assertThat(rig.err()).contains("i1/0000000000000001 (lookup): no confirmation and no end");
    }

    @Test
    void sessionOpenedAfterTheRemovalHasToConfirmToo() {
        rig.log.onWait(() -> {
            if (rig.log.size() == REMOVAL + 1) {
                confirmAndEnd();
                rig.log.add(new LogRecord.SessionOpened(CtlRig.session(4)));
            }
        });

        assertThat(rig.runAs("anna", "depart", "growers")).isEqualTo(ExitCode.NOT_PROVED);
    }

    @Test
    void confirmationOfAnEarlierRemovalProvesNothing() {
        rig.log.add(new LogRecord.CustomerRemoved(1, "growers", "anna"));
        for (int number = 1; number <= 3; number++) {
            rig.log.add(new LogRecord.DepartureConfirmed("growers", REMOVAL, id(number)));
        }
        rig.log.add(new LogRecord.ConfigPublished(2, CtlRig.config(CtlRig.CONFIG), "anna"));

        assertThat(rig.runAs("anna", "depart", "growers")).isEqualTo(ExitCode.NOT_PROVED);
    }

    @Test
    void goesOnAfterAnInterruptionWithTheSameRemoval() {
        rig.runAs("anna", "depart", "growers", "--wait-ms", "0");
        confirmAndEnd();

        assertThat(rig.runAs("anna", "depart", "growers")).isEqualTo(ExitCode.OK);
        assertThat(rig.json().path("removalOffset").asLong()).isEqualTo(REMOVAL);
    }

    @Test
    void removesAgainAfterAConfigurationChangeCameFirst() {
        rig.log.beforeNextAppend(() -> rig.log.add(new LogRecord.PresetSwitched(1, "peak", "berta")));

        assertThat(rig.runAs("anna", "depart", "growers", "--wait-ms", "0")).isEqualTo(ExitCode.NOT_PROVED);
        assertThat(rig.json().path("removalOffset").asLong()).isEqualTo(REMOVAL + 2);
    }

    @Test
    void lostResponseOfTheRemovalIsUnknown() {
        rig.log.nextAppends(
                AppendBehaviour.LOSE,
                AppendBehaviour.LOSE,
                AppendBehaviour.LOSE,
                AppendBehaviour.LOSE,
                AppendBehaviour.LOSE);

        assertThat(rig.runAs("anna", "depart", "growers")).isEqualTo(ExitCode.UNKNOWN);
    }

    @Test
    void logDownAfterTheRemovalIsNoProof() {
        rig.log.onWait(() -> {
            confirmAndEnd();
            rig.log.setDown(true);
        });

        assertThat(rig.runAs("anna", "depart", "growers")).isEqualTo(ExitCode.NOT_PROVED);
    }

    @Test
    void refusesACustomerThatIsNotListed() {
        assertThat(rig.runAs("anna", "depart", "grower")).isEqualTo(ExitCode.REFUSED);
        assertThat(rig.log.size()).isEqualTo(REMOVAL);
    }

    private void confirmAndEnd() {
        rig.log.add(new LogRecord.DepartureConfirmed("growers", REMOVAL, id(1)));
        rig.log.add(new LogRecord.SessionClosed(id(2)));
        rig.log.add(new LogRecord.SessionEnded(id(3), id(1), REMOVAL));
    }

    private static Incarnation id(int number) {
        return new Incarnation(number);
    }
}
