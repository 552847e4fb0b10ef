package org.siskintiller.node;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command line of the companion. */
@Command(
        name = "companion",
        mixinStandardHelpOptions = true,
        version = "siskintiller companion 0.1.0",
        description = "Runs the companion of one backend server.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:stopped after a graceful shutdown, or the settings are valid",
            "1:failure while running",
            "2:wrong command line",
            "3:invalid settings",
            "4:an address cannot be bound"
        })
public final class CompanionMain implements Callable<Integer> {
    static final int EXIT_OK = 0;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Process settings (INI).")
    private Path settings;

    @Option(names = "--check", description = "Check the settings and exit.")
    private boolean check;

    @Override
    public Integer call() {
        return EXIT_OK;
    }

    public static void main(String[] args) {
        System.exit(new CommandLine(new CompanionMain()).execute(args));
    }
}
