package org.siskintiller.standin.log;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.siskintiller.standin.ServerOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the log stand-in until the process is stopped. */
@Command(
        name = "log",
        mixinStandardHelpOptions = true,
        description = "Log service in memory. Faults: POST /_faults, counters: GET /_stats.")
public final class LogCommand implements Callable<Integer> {

    @Mixin
    private ServerOptions server;

    @Option(
            names = "--retention-ms",
            defaultValue = "0",
            description = "age at which records expire; 0 is never (default ${DEFAULT-VALUE})")
    private long retentionMs;

    @Option(
            names = "--retention-records",
            defaultValue = "0",
            description = "records kept per stream; 0 is all (default ${DEFAULT-VALUE})")
    private int retentionRecords;

    @Option(
            names = "--max-appends-per-second",
            defaultValue = "500",
            description = "batches accepted per second; 0 is no limit (default ${DEFAULT-VALUE})")
    private double maxAppendsPerSecond;

    @Option(
            names = "--max-batch-records",
            defaultValue = "1000",
            description = "largest batch (default ${DEFAULT-VALUE})")
    private int maxBatchRecords;

    @Override
    public Integer call() throws Exception {
        LogServerSettings settings = new LogServerSettings(
                retentionMs, retentionRecords, maxAppendsPerSecond, maxBatchRecords, server.seed());
        try (LogServer log = new LogServer(server.address(), settings)) {
            ServerOptions.printAddress(log.address());
            new CountDownLatch(1).await();
        }
        return 0;
    }
}
