package org.siskintiller.standin;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import org.siskintiller.standin.backend.BackendCommand;
import org.siskintiller.standin.caller.CallerCommand;
import org.siskintiller.standin.log.LogCommand;
import org.siskintiller.standin.proxy.ProxyCommand;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.ScopeType;

/** Command line of the stand-ins. Exit codes: 0 success, 1 failure, 2 usage. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        versionProvider = StandinMain.Version.class,
        scope = ScopeType.INHERIT,
        subcommands = {LogCommand.class, BackendCommand.class, CallerCommand.class, ProxyCommand.class},
        description = "Stand-ins for the platform in tests and the demo.")
public final class StandinMain {

    private StandinMain() {}

    public static void main(String[] args) {
        disableLibraryLogging();
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new StandinMain());
        commandLine.setExecutionExceptionHandler((exception, command, parsed) -> {
            command.getErr().println(command.getCommandName() + ": " + exception.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        });
        return commandLine;
    }

    /** Disables logging: Logback without a configuration logs to standard output, which is reserved for the results. */
    private static void disableLibraryLogging() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.OFF);
    }

    /** Reads the version from the manifest of the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = StandinMain.class.getPackage().getImplementationVersion();
            return new String[] {"standin " + (version == null ? "development" : version)};
        }
    }
}
