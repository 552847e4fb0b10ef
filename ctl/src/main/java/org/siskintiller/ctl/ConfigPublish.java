package org.siskintiller.ctl;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.siskintiller.config.ClusterConfigChangeRules;
import org.siskintiller.config.ClusterConfigDiff;
import org.siskintiller.config.ClusterConfigParser;
import org.siskintiller.config.ClusterConfigRules;
import org.siskintiller.config.ConfigProblem;
import org.siskintiller.config.Parsed;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.StateImage.RemovedCustomer;
import org.siskintiller.core.replay.ClusterState;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Publishes a configuration as the next version. */
@Command(
        name = "publish",
        mixinStandardHelpOptions = true,
        description = "Publishes a configuration as the next version. The preset in force stays in force.")
final class ConfigPublish extends LogCommand {
    private static final String AFTER_CONFLICT =
            "compare with 'siskinctl config diff FILE', merge what you want to keep, and publish again";

    @Mixin
    private OperatorOption operator;

    @Option(
            names = "--base",
            paramLabel = "VERSION",
            description = "Version that the file was made from. Default: the version in force.")
    private Long base;

    @Option(names = "--switch-preset", description = "Also switch to the active_preset of the file.")
    private boolean switchPreset;

    @Option(names = "--readmit", paramLabel = "CUSTOMER", description = "Serve a removed customer again.")
    private Set<String> readmitted = new HashSet<>();

    @Parameters(paramLabel = "FILE", description = "INI file of the whole configuration.")
    private Path file;

    ConfigPublish(Environment env) {
        super(env);
    }

    @Override
    Report run(ControlAccess access) {
        Parsed<ClusterConfig> parsed = ConfigFiles.read(file, ClusterConfigParser::parse);
        if (parsed instanceof Parsed.Invalid<ClusterConfig> invalid) {
            return ConfigFiles.invalid(invalid.problems());
        }
        ClusterState state = access.state();
        if (base != null && base != state.configVersion()) {
            return ConflictReports.outdatedBase(base, access, AFTER_CONFLICT);
        }
        ClusterConfig next = withPresetInForce(((Parsed.Ok<ClusterConfig>) parsed).value(), state);
        List<ConfigProblem> problems =
                ClusterConfigChangeRules.check(file.toString(), state.config(), next, removedNames(state));
        if (problems.isEmpty()) {
            // The preset in force may be missing from the file.
            problems = ClusterConfigRules.check(file.toString(), next);
        }
        if (!problems.isEmpty()) {
            return ConfigFiles.invalid(problems);
        }
        List<ClusterConfigDiff.Change> changes = ClusterConfigDiff.between(state.config(), next);
        if (changes.isEmpty() && readmitted.isEmpty()) {
            Report unchanged = new Report(ExitCode.OK, "unchanged");
            unchanged.json().put("version", state.configVersion());
            return unchanged.line("version " + state.configVersion() + " already says the same; nothing was appended");
        }
        return publish(access, next, changes);
    }

    private Report publish(ControlAccess access, ClusterConfig next, List<ClusterConfigDiff.Change> changes) {
        long version = access.state().configVersion();
        LogRecord record = new LogRecord.ConfigPublished(version, next, operator.operator());
        Submission submission = access.submitter().submit(record);
        Report report = SubmissionReports.of(submission, "configuration", AFTER_CONFLICT, access);
        if (submission instanceof Submission.Applied) {
            report.json().put("version", version + 1).put("activePreset", next.activePreset());
            report.line("published version " + (version + 1) + " with preset " + next.activePreset() + "; "
                    + changes.size() + " changed values:");
            ConfigFiles.addChanges(report, changes);
        }
        return report;
    }

    /** Keeps the preset in force, since a file made before a preset switch would otherwise revert it. */
    private ClusterConfig withPresetInForce(ClusterConfig next, ClusterState state) {
        boolean first = state.configVersion() == 0;
        return first || switchPreset
                ? next
                : next.withActivePreset(state.config().activePreset());
    }

    private Set<String> removedNames(ClusterState state) {
        Set<String> names = new HashSet<>();
        for (RemovedCustomer customer : state.removedCustomers()) {
            names.add(customer.customer());
        }
        names.removeAll(readmitted);
        return names;
    }
}
