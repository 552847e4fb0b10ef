package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.siskintiller.core.invariant.InvariantViolation;

/** Runs seeds and reduces the faults of a failing one. */
public final class RandomRuns {
    private static final long PLAN_SALT = 0x51D5_1A11L;
    private static final int MAX_REDUCTIONS = 20;

    private final long durationMs;
    private final FaultSettings settings;
    private final RunCounters totals = new RunCounters();

    public RandomRuns(long durationMs) {
        this(durationMs, FaultSettings.DEFAULT);
    }

    RandomRuns(long durationMs, FaultSettings settings) {
        this.durationMs = durationMs;
        this.settings = settings;
    }

    /** Failing seed with the fewest faults that were found to break the promise. */
    public record Failure(long seed, String message, List<String> faults, List<String> trace) {
        public Failure {
            faults = List.copyOf(faults);
            trace = List.copyOf(trace);
        }
    }

    /** Runs one seed. Returns the failure, reduced, or nothing. */
    public Optional<Failure> run(long seed) {
        List<Fault> faults = plan(seed);
        Optional<Failure> failure = attempt(seed, faults, totals);
        return failure.isEmpty() ? failure : Optional.of(reduce(seed, faults, failure.get()));
    }

    /** Runs one seed. Returns the failure with all faults of the seed, or nothing. */
    Optional<Failure> runUnreduced(long seed) {
        return attempt(seed, plan(seed), totals);
    }

    private List<Fault> plan(long seed) {
        return Fault.plan(
                new Random(seed ^ PLAN_SALT), durationMs, settings.faultIntervalMs(), RandomRun.companionCount());
    }

    /** Counts of all runs. */
    public String counts() {
        return totals.toString();
    }

    long count(String event) {
        return totals.get(event);
    }

    private Optional<Failure> attempt(long seed, List<Fault> faults, RunCounters into) {
        RandomRun run = new RandomRun(seed, durationMs, faults, settings);
        try {
            run.run();
            return Optional.empty();
        } catch (InvariantViolation | IllegalStateException | IllegalArgumentException | NullPointerException e) {
            run.trace(String.valueOf(e));
            for (int i = 0; i < Math.min(12, e.getStackTrace().length); i++) {
                run.trace("    at " + e.getStackTrace()[i]);
            }
            List<String> names = new ArrayList<>();
            faults.forEach(fault -> names.add(fault.toString()));
            return Optional.of(new Failure(seed, String.valueOf(e), names, run.traceLines()));
        } finally {
            into.addAll(run.counters());
        }
    }

    private Failure reduce(long seed, List<Fault> faults, Failure failure) {
        List<Fault> kept = new ArrayList<>(faults);
        Failure smallest = failure;
        RunCounters ignored = new RunCounters();
        int tries = 0;
        for (int chunk = Math.max(1, kept.size() / 2); chunk >= 1; chunk /= 2) {
            for (int from = 0; from < kept.size() && tries < MAX_REDUCTIONS; ) {
                List<Fault> fewer = new ArrayList<>(kept);
                fewer.subList(from, Math.min(kept.size(), from + chunk)).clear();
                tries++;
                Optional<Failure> again = attempt(seed, fewer, ignored);
                if (again.isPresent() && kind(again.get()).equals(kind(failure))) {
                    kept = fewer;
                    smallest = again.get();
                } else {
                    from += chunk;
                }
            }
        }
        return smallest;
    }

    private static String kind(Failure failure) {
        int colon = failure.message().indexOf(':', failure.message().indexOf(':') + 1);
        return colon < 0 ? failure.message() : failure.message().substring(0, colon);
    }
}
