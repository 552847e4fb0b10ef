package org.siskintiller.ctl;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.AssignmentChange;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.ownership.KeyHash;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Replay;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a change that the audit trail omits or lists with wrong values. */
class AuditTest {
    private final CtlRig rig = new CtlRig().withSessions(2);

    @BeforeEach
    void addChanges() {
        rig.log.add(new LogRecord.SlotsAssigned(
                "lookup",
                List.of(change(0, 0, 1), change(1, 0, 1), change(2, 0, 2), change(3, 0, 2)),
                new Incarnation(1),
                "first"));
        rig.log.add(new LogRecord.SlotsAssigned(
                "lookup", List.of(change(0, 1, 2), change(1, 0, 2)), new Incarnation(2), "move"));
        rig.log.add(new LogRecord.PresetSwitched(1, "peak", "anna"));
        rig.log.add(new LogRecord.PresetSwitched(1, "ordinary", "berta"));
        rig.log.add(new LogRecord.DrainRequested(new Incarnation(2), "anna"));
        rig.log.add(new LogRecord.CustomerRemoved(2, "growers", "anna"));
        rig.log.add(new LogRecord.SessionClosed(new Incarnation(2)));
    }

    @Test
    void listsWhoWhatFromToAndOutcome() {
        assertThat(rig.run("audit", "--kind", "preset")).isEqualTo(ExitCode.OK);
        assertThat(rig.json().path("records").findValuesAsText("who")).containsExactly("anna", "berta");
        assertThat(rig.json().path("records").findValuesAsText("from")).containsExactly("ordinary", "peak");
        assertThat(rig.json().path("records").findValuesAsText("outcome").get(1))
                .startsWith("void: stale-version");
    }

    @Test
    void filtersByCustomer() {
        rig.run("audit", "--customer", "growers");
        assertThat(rig.json().path("records").findValuesAsText("kind")).containsExactly("config", "customer");
    }

    @Test
    void filtersByKeyAndNamesVoidSlots() {
        String key = keyOfSlot(1);

        rig.run("audit", "--key", "lookup/" + key);
        assertThat(rig.json().path("records").findValuesAsText("outcome"))
                .containsExactly("accepted", "void: another change of the slots came first")
                .inOrder();
        assertThat(rig.json().path("records").get(1).path("from").asText()).isEqualTo("i1/0000000000000001");
    }

    @Test
    void filtersByTimeOffsetAndPerson() {
        rig.run("audit", "--since", "1970-01-01T00:00:07Z", "--until", "1970-01-01T00:00:08Z");
        assertThat(rig.json().path("records").findValuesAsText("kind")).containsExactly("drain", "customer");
        rig.run("audit", "--from", "7", "--who", "i2");
        assertThat(rig.json().path("records").findValuesAsText("kind")).containsExactly("session");
    }

    @Test
    void startsFromASnapshotWhenTheFirstRecordsHaveExpired() {
        ClusterState state = ClusterState.EMPTY;
        for (int offset = 0; offset < rig.log.size(); offset++) {
            LogEntry entry = new LogEntry(offset, new OperationId(0, 1_000 + offset), rig.log.record(offset));
            state = Replay.apply(state, entry).state();
        }
        rig.log.add(new LogRecord.Snapshot(state.appliedOffset(), state.image()));
        rig.log.add(new LogRecord.PresetSwitched(3, "ordinary", "carl"));
        rig.log.expireBefore(6);

        assertThat(rig.run("audit")).isEqualTo(ExitCode.OK);
        List<String> outcomes = rig.json().path("records").findValuesAsText("outcome");
        assertThat(outcomes).hasSize(6);
        assertThat(outcomes.get(0)).isEqualTo("not replayed; it precedes the first snapshot");
        assertThat(outcomes.get(5)).isEqualTo("accepted");
        rig.run("preset", "list");
        assertThat(rig.json().path("activePreset").asText()).isEqualTo("ordinary");
    }

    /** Guards against the omission of a session that ends without a SessionEnded record when its companion restarts. */
    @Test
    void namesTheSessionThatARestartReplaces() {
        rig.log.add(new LogRecord.SessionOpened(CtlRig.session(3)));
        rig.log.add(new LogRecord.SessionOpened(CtlRig.session(4, CtlRig.session(3))));

        rig.run("audit", "--from", "11");
        assertThat(rig.json().path("records").get(0).path("to").asText())
                .isEqualTo("open in place of i3/0000000000000003");
        assertThat(rig.json().path("records").get(0).path("outcome").asText()).isEqualTo("accepted");
    }

    /** Guards against a payload that cannot be decoded and therefore stops replay or is missing from the trail. */
    @Test
    void showsAMalformedRecordAndContinues() {
        rig.log.addMalformed();
        rig.log.add(new LogRecord.PresetSwitched(3, "ordinary", "carl"));

        assertThat(rig.run("audit", "--from", "10")).isEqualTo(ExitCode.OK);
        assertThat(rig.json().path("records").findValuesAsText("what"))
                .containsExactly("malformed record", "preset")
                .inOrder();
        assertThat(rig.json().path("records").get(1).path("outcome").asText()).isEqualTo("accepted");
    }

    @Test
    void isUnavailableWithoutFirstRecordAndSnapshot() {
        rig.log.expireBefore(6);

        assertThat(rig.run("audit")).isEqualTo(ExitCode.UNAVAILABLE);
    }

    @Test
    void ownerNamesCandidatesAndDrainNamesSessions() {
        assertThat(rig.run("owner", "lookup", keyOfSlot(0))).isEqualTo(ExitCode.OK);
        assertThat(rig.json().path("candidates").get(0).path("instance").asText())
                .isEqualTo("i2");
        assertThat(rig.json().path("candidates").get(0).path("open").asBoolean())
                .isFalse();
        assertThat(rig.run("owner", "none", "k")).isEqualTo(ExitCode.REFUSED);
        assertThat(rig.runAs("anna", "drain", "i1")).isEqualTo(ExitCode.OK);
        assertThat(rig.runAs("anna", "drain", "i1", "--wait-ms", "1000")).isEqualTo(ExitCode.INCOMPLETE);
        assertThat(rig.json().path("slotsLeft").asInt()).isEqualTo(1);
        assertThat(rig.runAs("anna", "drain", "i2")).isEqualTo(ExitCode.REFUSED);
    }

    @Test
    void statusShowsLagAndMissingResponses() {
        rig.log.add(new LogRecord.SessionOpened(CtlRig.session(3)));
        rig.companions.put(
                "127.0.0.1:7001", "{\"incarnation\":\"0000000000000001\",\"configVersion\":3,\"appliedOffset\":7}");

        assertThat(rig.run("status", "--wait-ms", "1000")).isEqualTo(ExitCode.INCOMPLETE);
        assertThat(rig.json().path("inForce").asInt()).isEqualTo(1);
        assertThat(rig.json().path("sessions").get(0).path("lagRecords").asInt())
                .isEqualTo(3);
        assertThat(rig.json().path("sessions").get(1).path("answered").asBoolean())
                .isFalse();
        rig.companions.put(
                "127.0.0.1:7003", "{\"incarnation\":\"0000000000000003\",\"configVersion\":3,\"appliedOffset\":10}");
        assertThat(rig.run("status")).isEqualTo(ExitCode.OK);
    }

    private static AssignmentChange change(int slot, long baseVersion, int owner) {
        return new AssignmentChange(slot, baseVersion, List.of(new Incarnation(owner)));
    }

    private static String keyOfSlot(int slot) {
        int number = 0;
        while (KeyHash.slotOf("lookup", "k" + number, 4) != slot) {
            number++;
        }
        return "k" + number;
    }
}
