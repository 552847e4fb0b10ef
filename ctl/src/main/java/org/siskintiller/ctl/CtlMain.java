package org.siskintiller.ctl;

import org.siskintiller.core.model.Address;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IFactory;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Command line tool for operators. */
@Command(
        name = "siskinctl",
        mixinStandardHelpOptions = true,
        versionProvider = CtlMain.Version.class,
        description = "Publishes configuration, switches presets, drains instances, proves departures and reads the"
                + " audit trail.",
        subcommands = {
            ConfigCommand.class,
            PresetCommand.class,
            StatusCommand.class,
            OwnerCommand.class,
            DrainCommand.class,
            DepartCommand.class,
            AuditCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:fault of the tool",
            "2:wrong command line",
            "3:invalid file or request; nothing was changed",
            "4:conflict; another operator's change came first",
            "5:log or companion unavailable; nothing was changed",
            "6:unknown whether the change took effect; look again as the message says",
            "7:not found, or refused by the rules of the log",
            "8:departure not proved; confirmations are missing",
            "9:the wait ended before every open session had followed the change"
        })
public final class CtlMain implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    public static void main(String[] args) {
        System.exit(run(Environment.system(), args));
    }

    static int run(Environment env, String... args) {
        return new CommandLine(CtlMain.class, new CommandFactory(env))
                .setCaseInsensitiveEnumValuesAllowed(true)
                .registerConverter(Address.class, new AddressConverter())
                .registerConverter(AuditFilter.Key.class, new KeyConverter())
                .setOut(env.out())
                .setErr(env.err())
                .execute(args);
    }

    /** Creates the commands with their environment. */
    private static final class CommandFactory implements IFactory {
        private final Environment env;

        CommandFactory(Environment env) {
            this.env = env;
        }

        @Override
        public <K> K create(Class<K> type) throws Exception {
            if (LogCommand.class.isAssignableFrom(type)
                    || type == StatusCommand.class
                    || type == ConfigValidate.class) {
                return type.getDeclaredConstructor(Environment.class).newInstance(env);
            }
            return CommandLine.defaultFactory().create(type);
        }
    }

    /** Version from the manifest of the jar. */
    static final class Version implements IVersionProvider {

        @Override
        public String[] getVersion() {
            String version = CtlMain.class.getPackage().getImplementationVersion();
            return new String[] {"siskinctl " + (version == null ? "(not packaged)" : version)};
        }
    }
}
