package org.siskintiller.measure;

import java.io.PrintWriter;
import java.util.Optional;
import java.util.concurrent.Callable;

import org.siskintiller.measure.random.RandomRuns;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs seeded schedules of faults against the control planes and gates of many companions in one process. */
@Command(
        name = "random-run",
        mixinStandardHelpOptions = true,
        description = "Run randomised schedules of faults and check the invariants.")
final class RandomRunCommand implements Callable<Integer> {
    @Option(names = "--first-seed", defaultValue = "1", description = "First seed (default: ${DEFAULT-VALUE}).")
    private long firstSeed;

    @Option(names = "--seeds", defaultValue = "20", description = "Number of seeds (default: ${DEFAULT-VALUE}).")
    private long seeds;

    @Option(
            names = "--duration-s",
            defaultValue = "60",
            description = "Virtual seconds with faults in each run (default: ${DEFAULT-VALUE}).")
    private long durationS;

    @Option(names = "--trace", description = "Print the trace of each failing seed.")
    private boolean trace;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        RandomRuns runs = new RandomRuns(durationS * 1000);
        int failures = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            Optional<RandomRuns.Failure> failure = runs.run(seed);
            if (failure.isEmpty()) {
                continue;
            }
            failures++;
            out.printf("seed %d failed: %s%n", seed, failure.get().message());
            failure.get().faults().forEach(fault -> out.println("  " + fault));
            if (trace) {
                failure.get().trace().forEach(line -> out.println("    " + line));
            }
            out.flush();
        }
        out.print(runs.counts());
        out.printf("%d seeds from %d, %d failed%n", seeds, firstSeed, failures);
        out.flush();
        return failures == 0 ? 0 : 1;
    }
}
