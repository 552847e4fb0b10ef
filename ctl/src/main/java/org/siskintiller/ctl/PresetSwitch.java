package org.siskintiller.ctl;

import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.replay.ClusterState;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Switches the preset in force. */
@Command(name = "switch", mixinStandardHelpOptions = true, description = "Switches the preset in force.")
final class PresetSwitch extends LogCommand {
    private static final String AFTER_CONFLICT =
            "look at 'siskinctl preset list' and switch again if the switch is still wanted";

    @Mixin
    private OperatorOption operator;

    @Option(
            names = "--base",
            paramLabel = "VERSION",
            description = "Version that the switch builds on. Default: the version in force.")
    private Long base;

    @Parameters(paramLabel = "PRESET", description = "Name of the preset.")
    private String preset;

    PresetSwitch(Environment env) {
        super(env);
    }

    @Override
    Report run(ControlAccess access) {
        ClusterState state = access.state();
        long version = state.configVersion();
        if (state.config().preset(preset).isEmpty()) {
            return Report.failure(
                    ExitCode.REFUSED,
                    "not-found",
                    "preset '" + preset + "' is not in version " + version,
                    "choose one of 'siskinctl preset list' or publish it");
        }
        if (base != null && base != version) {
            return ConflictReports.outdatedBase(base, access, AFTER_CONFLICT);
        }
        String from = state.config().activePreset();
        if (from.equals(preset)) {
            Report unchanged = new Report(ExitCode.OK, "unchanged").line("preset " + preset + " is already in force");
            unchanged.json().put("version", version).put("activePreset", preset);
            return unchanged;
        }
        LogRecord record = new LogRecord.PresetSwitched(version, preset, operator.operator());
        Submission submission = access.submitter().submit(record);
        Report report = SubmissionReports.of(submission, "preset switch", AFTER_CONFLICT, access);
        if (submission instanceof Submission.Applied) {
            report.json().put("version", version + 1).put("from", from).put("activePreset", preset);
            report.line("preset " + from + " -> " + preset + " is version " + (version + 1));
        }
        return report;
    }
}
