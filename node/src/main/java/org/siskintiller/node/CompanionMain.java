package org.siskintiller.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.siskintiller.config.CompanionSettings;
import org.siskintiller.config.CompanionSettingsParser;
import org.siskintiller.config.ConfigProblem;
import org.siskintiller.config.Parsed;
import org.siskintiller.node.backend.BackendClient;
import org.siskintiller.node.runtime.CompanionRuntime;
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
            "3:settings missing, unreadable or invalid",
            "4:an address cannot be bound"
        })
public final class CompanionMain implements Callable<Integer> {
    static final int EXIT_OK = 0;
    static final int EXIT_FAILED = 1;
    static final int EXIT_SETTINGS = 3;
    static final int EXIT_BIND = 4;

    /** Time for the process to exit after the timeout of the graceful stop. */
    private static final long EXIT_GRACE_MS = 2000;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Process settings (INI).")
    private Path file;

    @Option(names = "--check", description = "Check the settings and exit.")
    private boolean check;

    @Override
    public Integer call() throws InterruptedException {
        Parsed<CompanionSettings> parsed;
        try {
            parsed = CompanionSettingsParser.parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            System.err.println(file + " cannot be read: " + e.getMessage() + "; name a readable INI file");
            return EXIT_SETTINGS;
        }
        if (parsed instanceof Parsed.Invalid<CompanionSettings> invalid) {
            for (ConfigProblem problem : invalid.problems()) {
                System.err.println(problem);
            }
            return EXIT_SETTINGS;
        }
        if (check) {
            System.out.println(file + " is valid");
            return EXIT_OK;
        }
        return run(((Parsed.Ok<CompanionSettings>) parsed).value());
    }

    private static int run(CompanionSettings settings) throws InterruptedException {
        CompanionRuntime runtime = new CompanionRuntime(settings, CompanionRuntime.logClient(settings));
        try {
            runtime.start();
        } catch (IOException e) {
            System.err.println(e.getMessage() + "; choose a free address in [companion] http and peer");
            runtime.close();
            return EXIT_BIND;
        }
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopOnSignal(runtime, settings, ended)));
        boolean stoppedGracefully = runtime.awaitEnd();
        runtime.close();
        ended.countDown();
        return stoppedGracefully ? EXIT_OK : EXIT_FAILED;
    }

    /** Runs the graceful stop on SIGTERM, then halts the JVM with the exit code, which would otherwise be 143. */
    private static void stopOnSignal(CompanionRuntime runtime, CompanionSettings settings, CountDownLatch ended) {
        if (ended.getCount() == 0) {
            return;
        }
        runtime.stop("signal");
        try {
            boolean endedInTime = ended.await(settings.limits().stopTimeoutMs() + EXIT_GRACE_MS, TimeUnit.MILLISECONDS);
            Runtime.getRuntime().halt(endedInTime ? EXIT_OK : EXIT_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public static void main(String[] args) {
        BackendClient.configureJdkClient();
        System.exit(new CommandLine(new CompanionMain()).execute(args));
    }
}
