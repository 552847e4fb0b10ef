package org.siskintiller.ctl;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Group of the commands for presets. */
@Command(
        name = "preset",
        mixinStandardHelpOptions = true,
        description = "Lists and switches presets.",
        subcommands = {PresetList.class, PresetSwitch.class})
final class PresetCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a preset command is missing");
    }
}
