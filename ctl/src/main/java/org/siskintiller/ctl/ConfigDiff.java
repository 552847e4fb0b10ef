package org.siskintiller.ctl;

import java.nio.file.Path;
import java.util.List;

import org.siskintiller.config.ClusterConfigDiff;
import org.siskintiller.config.ClusterConfigParser;
import org.siskintiller.config.Parsed;
import org.siskintiller.core.model.ClusterConfig;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Compares a file with the configuration in force. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description = "Lists the values that a file would change in the configuration in force.")
final class ConfigDiff extends LogCommand {

    @Parameters(paramLabel = "FILE", description = "INI file of the whole configuration.")
    private Path file;

    ConfigDiff(Environment env) {
        super(env);
    }

    @Override
    Report run(ControlAccess access) {
        Parsed<ClusterConfig> parsed = ConfigFiles.read(file, ClusterConfigParser::parse);
        if (parsed instanceof Parsed.Invalid<ClusterConfig> invalid) {
            return ConfigFiles.invalid(invalid.problems());
        }
        ClusterConfig next = ((Parsed.Ok<ClusterConfig>) parsed).value();
        List<ClusterConfigDiff.Change> changes =
                ClusterConfigDiff.between(access.state().config(), next);
        long version = access.state().configVersion();
        Report report = new Report(ExitCode.OK, changes.isEmpty() ? "equal" : "different");
        report.json().put("version", version);
        report.line(changes.size() + " values differ from version " + version + (changes.isEmpty() ? "" : ":"));
        ConfigFiles.addChanges(report, changes);
        return report;
    }
}
