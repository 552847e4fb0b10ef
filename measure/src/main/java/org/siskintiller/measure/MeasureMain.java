package org.siskintiller.measure;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line of the experiments. */
@Command(
        name = "siskintiller-measure",
        version = "siskintiller-measure 0.1.0",
        mixinStandardHelpOptions = true,
        subcommands = {RandomRunCommand.class, RecoveryCommand.class, CapacityCommand.class},
        description = "Experiments and randomised runs.")
public final class MeasureMain {

    private MeasureMain() {}

    public static void main(String[] args) {
        System.exit(new CommandLine(new MeasureMain()).execute(args));
    }
}
