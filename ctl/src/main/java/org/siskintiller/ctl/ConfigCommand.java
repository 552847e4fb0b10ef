package org.siskintiller.ctl;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Group of the commands for published configuration. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Validates, publishes, shows and compares configuration.",
        subcommands = {ConfigValidate.class, ConfigPublish.class, ConfigShow.class, ConfigDiff.class})
final class ConfigCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a config command is missing");
    }
}
