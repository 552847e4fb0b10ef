package org.siskintiller.standin.backend;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.siskintiller.standin.Addresses;
import org.siskintiller.standin.ServerOptions;
import org.siskintiller.standin.http.WarmUp;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the backend stand-in until the process is stopped or crashes on a marked request. */
@Command(
        name = "backend",
        mixinStandardHelpOptions = true,
        description = {
            "Backend server with per-key state.",
            "Faults: POST /_faults, executions: GET /journal. A request whose key starts with crash- ends the process"
                    + " with exit code 3, one whose key starts with freeze- stops all answers."
        })
public final class BackendCommand implements Callable<Integer> {
    private static final int CRASH_EXIT_CODE = 3;

    @Mixin
    private ServerOptions server;

    @Option(names = "--service", required = true, description = "name of the service")
    private String service;

    @Option(names = "--companion", description = "HOST:PORT of the companion to announce to")
    private String companion;

    @Option(names = "--announce-address", description = "HOST:PORT to announce in place of the bound address")
    private String announceAddress;

    @Option(names = "--announce-ms", defaultValue = "1000", description = "interval (default ${DEFAULT-VALUE})")
    private long announceMs;

    @Option(names = "--concurrency", defaultValue = "12", description = "places (default ${DEFAULT-VALUE})")
    private int concurrency;

    @Option(names = "--connections", defaultValue = "130", description = "announced (default ${DEFAULT-VALUE})")
    private int connections;

    @Option(
            names = "--queue-limit",
            defaultValue = "24",
            description = "requests that wait before others are shed (default ${DEFAULT-VALUE})")
    private int queueLimit;

    @Option(names = "--checks-fence", description = "refuse requests without a live grant")
    private boolean checksFence;

    @Option(
            names = "--service-time",
            defaultValue = "fixed:2",
            description = "[PATH=]fixed:MS, exp:MEAN or uniform:LOW-HIGH, may be repeated; the first rule whose PATH"
                    + " occurs in the request path applies (default ${DEFAULT-VALUE})")
    private List<String> serviceTimes;

    @Option(names = "--cold-start-ms", defaultValue = "0", description = "slow time (default ${DEFAULT-VALUE})")
    private long coldStartMs;

    @Option(names = "--cold-start-factor", defaultValue = "4", description = "slowness (default ${DEFAULT-VALUE})")
    private double coldStartFactor;

    @Option(
            names = "--freeze-ms",
            defaultValue = "0",
            description = "length of a freeze by a marked request; 0 is until released (default ${DEFAULT-VALUE})")
    private long freezeMs;

    @Option(names = "--journal", description = "file that gets a line per finished execution")
    private Path journalFile;

    @Option(
            names = "--journal-limit",
            defaultValue = "200000",
            description = "executions kept in memory (default ${DEFAULT-VALUE})")
    private int journalLimit;

    @Option(
            names = "--warm-up",
            description = "send requests to itself first, to keep class loading out of measurements")
    private boolean warmUp;

    @Override
    public Integer call() throws Exception {
        BackendSettings settings = new BackendSettings(
                service,
                concurrency,
                connections,
                queueLimit,
                checksFence,
                ServiceTimes.parse(serviceTimes),
                coldStartMs,
                coldStartFactor,
                freezeMs,
                companion == null ? null : Addresses.parse(companion),
                announceAddress == null ? null : Addresses.parse(announceAddress),
                announceMs,
                journalFile,
                journalLimit,
                server.seed());
        Runnable crashAction = () -> Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        try (BackendStandin backend = new BackendStandin(server.address(), settings, crashAction)) {
            if (warmUp) {
                WarmUp.run(backend.address(), "/load");
            }
            ServerOptions.printAddress(backend.address());
            new CountDownLatch(1).await();
        }
        return 0;
    }
}
