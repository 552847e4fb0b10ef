package org.siskintiller.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankLimits;
import picocli.CommandLine.Command;

/** Lists the presets and marks the one in force. */
@Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the presets and marks the one in force.")
final class PresetList extends LogCommand {

    PresetList(Environment env) {
        super(env);
    }

    @Override
    Report run(ControlAccess access) {
        ClusterConfig config = access.state().config();
        Report report = new Report(ExitCode.OK, "listed");
        report.json().put("version", access.state().configVersion()).put("activePreset", config.activePreset());
        ArrayNode list = report.json().putArray("presets");
        for (PresetConfig preset : config.presets()) {
            boolean active = preset.name().equals(config.activePreset());
            list.addObject().put("name", preset.name()).put("active", active);
            report.line((active ? "* " : "  ") + preset.name() + ": " + shares(preset) + "; "
                    + preset.maxMovesPerMinute() + " moves a minute");
        }
        return report;
    }

    private static String shares(PresetConfig preset) {
        StringBuilder text = new StringBuilder();
        for (RankLimits limits : preset.ranks()) {
            text.append(text.length() == 0 ? "" : ", ")
                    .append(limits.rank())
                    .append(' ')
                    .append(limits.guaranteedSharePercent())
                    .append('%');
        }
        return text.toString();
    }
}
