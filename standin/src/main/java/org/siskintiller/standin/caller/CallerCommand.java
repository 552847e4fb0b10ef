package org.siskintiller.standin.caller;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import com.sun.net.httpserver.HttpExchange;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.Addresses;
import org.siskintiller.standin.ServerOptions;
import org.siskintiller.standin.http.HttpBodies;
import org.siskintiller.standin.http.StandinHttpServer;
import org.siskintiller.standin.http.WarmUp;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Generates load for the duration of a mix and prints a summary. */
@Command(
        name = "caller",
        mixinStandardHelpOptions = true,
        description = {
            "Open-loop caller. Prints a JSON summary at the end; GET /summary shows it before, POST /stop ends the run.",
            "Exit code 4: an answer did not belong to its request, or a request ran twice."
        })
public final class CallerCommand implements Callable<Integer> {
    private static final int WRONG_RESPONSES_EXIT_CODE = 4;

    @Mixin
    private ServerOptions server;

    @Option(names = "--mix", required = true, description = "INI file with [caller] and [stream NAME] sections")
    private Path mixFile;

    @Option(names = "--target", split = ",", description = "HOST:PORT of a companion, in place of those of the mix")
    private List<String> targets;

    @Option(names = "--duration-ms", description = "length of the run, in place of that of the mix")
    private Long durationMs;

    @Option(names = "--journal", description = "file that gets one JSON line per send")
    private Path journalFile;

    @Override
    public Integer call() throws Exception {
        CallerMix mix = readMix();
        CallerStats stats = new CallerStats();
        try (CallerJournal journal = new CallerJournal(journalFile)) {
            LoadGenerator generator = new LoadGenerator(mix, stats, journal);
            try (StandinHttpServer http =
                    StandinHttpServer.start(server.address(), exchange -> handle(exchange, generator, stats))) {
                ServerOptions.printAddress(http.address());
                WarmUp.run(http.address(), "/summary");
                generator.run();
            }
        }
        System.out.println(HttpBodies.toLine(stats.toJson()));
        return stats.isCorrect() ? 0 : WRONG_RESPONSES_EXIT_CODE;
    }

    private CallerMix readMix() throws IOException {
        List<Address> addresses =
                targets == null ? null : targets.stream().map(Addresses::parse).toList();
        try (Reader reader = Files.newBufferedReader(mixFile, StandardCharsets.UTF_8)) {
            return MixReader.read(reader, addresses, durationMs, server.seedIfGiven());
        }
    }

    private static void handle(HttpExchange exchange, LoadGenerator generator, CallerStats stats) throws IOException {
        if (exchange.getRequestURI().getPath().equals("/stop")) {
            generator.stop();
        }
        HttpBodies.sendJson(exchange, HttpBodies.OK, stats.toJson());
    }
}
