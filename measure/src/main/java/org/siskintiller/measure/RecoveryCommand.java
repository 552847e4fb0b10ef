package org.siskintiller.measure;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import org.siskintiller.measure.random.RecoveryExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures how long slots have no owner after losses and planned stops, in virtual time. */
@Command(
        name = "recovery",
        mixinStandardHelpOptions = true,
        description = "Measure the time without an owner after losses and planned stops, in virtual time.")
final class RecoveryCommand implements Callable<Integer> {
    private static final long LOSS_TARGET_MS = 2_000;
    private static final long PLANNED_TARGET_MS = 50;

    @Option(names = "--runs", defaultValue = "200", description = "Runs of each kind (default: ${DEFAULT-VALUE}).")
    private int runs;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        out.println("| kind | runs | slots | median ms | p99 ms | max ms | target ms | runs over target |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (RecoveryExperiment.Kind kind : RecoveryExperiment.Kind.values()) {
            long targetMs = kind == RecoveryExperiment.Kind.PLANNED_STOP ? PLANNED_TARGET_MS : LOSS_TARGET_MS;
            RecoveryExperiment.Result result = RecoveryExperiment.run(kind, runs, targetMs);
            out.printf(
                    "| %s | %d | %d | %.0f | %.0f | %.0f | %d | %d |%n",
                    kind.name().toLowerCase(java.util.Locale.ROOT),
                    result.runs(),
                    result.slots(),
                    result.medianMs(),
                    result.p99Ms(),
                    result.maxMs(),
                    targetMs,
                    result.runsOverTarget());
            out.flush();
        }
        return 0;
    }
}
