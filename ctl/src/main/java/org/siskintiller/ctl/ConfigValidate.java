package org.siskintiller.ctl;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.siskintiller.config.ClusterConfigParser;
import org.siskintiller.config.CompanionSettingsParser;
import org.siskintiller.config.Parsed;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Validates a file without access to the network. */
@Command(
        name = "validate",
        mixinStandardHelpOptions = true,
        description = "Lists all problems of a file at once. Does not use the network.")
final class ConfigValidate implements Callable<Integer> {
    private final Environment env;

    @Mixin
    private OutputOptions output;

    @Option(names = "--companion", description = "The file holds the process settings of a companion.")
    private boolean companion;

    @Parameters(paramLabel = "FILE", description = "INI file.")
    private Path file;

    ConfigValidate(Environment env) {
        this.env = env;
    }

    @Override
    public Integer call() {
        Report report = companion
                ? report(ConfigFiles.read(file, CompanionSettingsParser::parse))
                : report(ConfigFiles.read(file, ClusterConfigParser::parse));
        report.print(output.json(), env.out(), env.err());
        return report.exitCode();
    }

    private <T> Report report(Parsed<T> parsed) {
        if (parsed instanceof Parsed.Invalid<T> invalid) {
            return ConfigFiles.invalid(invalid.problems());
        }
        return new Report(ExitCode.OK, "valid").line(file + " is valid");
    }
}
