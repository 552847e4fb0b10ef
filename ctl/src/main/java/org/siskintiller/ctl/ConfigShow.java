package org.siskintiller.ctl;

import org.siskintiller.config.ClusterConfigWriter;
import org.siskintiller.core.replay.ClusterState;
import picocli.CommandLine.Command;

/** Prints the configuration in force. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Prints the configuration in force as an INI file that can be edited and published.")
final class ConfigShow extends LogCommand {

    ConfigShow(Environment env) {
        super(env);
    }

    @Override
    Report run(ControlAccess access) {
        ClusterState state = access.state();
        if (state.configVersion() == 0) {
            return Report.failure(
                    ExitCode.REFUSED,
                    "not-found",
                    "no configuration was published yet",
                    "publish one with 'siskinctl config publish FILE'");
        }
        String text = ClusterConfigWriter.write(state.config());
        Report report = new Report(ExitCode.OK, "shown").line("# Version " + state.configVersion());
        access.history().changeTo(state.configVersion()).ifPresent(change -> {
            report.line("# " + change);
            report.json().put("operator", change.operator()).put("offset", change.offset());
        });
        report.json().put("version", state.configVersion()).put("config", text);
        return report.line(text.strip());
    }
}
