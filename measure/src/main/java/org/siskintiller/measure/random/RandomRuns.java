package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.siskintiller.core.invariant.InvariantViolation;

/** Runs seeds and reduces the list of faults of each failing one. */
public final class RandomRuns {
    private static final long PLAN_SALT = 0x51D5_1A11L;
    private static final int MAX_REDUCTION_ATTEMPTS = 20;

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

    /** Failing seed with the shortest list of faults found that still violates the invariant. */
    public record Failure(long seed, String message, List<String> faults, List<String> trace) {
        public Failure {
            faults = List.copyOf(faults);
            trace = List.copyOf(trace);
        }
    }

    /** Runs one seed. Returns the failure with a reduced list of faults, or empty on success. */
    public Optional<Failure> run(long seed) {
        List<Fault> faults = plan(seed);
        Optional<Failure> failure = attempt(seed, faults, totals);
        return failure.isEmpty() ? failure : Optional.of(reduce(seed, faults, failure.get()));
    }

    /** Runs one seed. Returns the failure with all faults of the seed, or empty on success. */
    Optional<Failure> runUnreduced(long seed) {
        return attempt(seed, plan(seed), totals);
    }

    private List<Fault> plan(long seed) {
        return Fault.plan(
                new Random(seed ^ PLAN_SALT), durationMs, settings.faultIntervalMs(), RandomRun.companionCount());
    }

    /** Returns the counters of all runs as text, one a line. */
    public String counts() {
        return totals.toString();
    }

    long count(String event) {
        return totals.get(event);
    }

    private Optional<Failure> attempt(long seed, List<Fault> faults, RunCounters counters) {
        RandomRun run = new RandomRun(seed, durationMs, faults, settings);
        try {
            run.run();
            return Optional.empty();
        } catch (InvariantViolation | IllegalStateException | IllegalArgumentException | NullPointerException e) {
            run.trace(String.valueOf(e));
            for (int i = 0; i < Math.min(12, e.getStackTrace().length); i++) {
                run.trace("    at " + e.getStackTrace()[i]);
            }
            List<String> faultTexts = new ArrayList<>();
            faults.forEach(fault -> faultTexts.add(fault.toString()));
            return Optional.of(new Failure(seed, String.valueOf(e), faultTexts, run.traceLines()));
        } finally {
            counters.addAll(run.counters());
        }
    }

    private Failure reduce(long seed, List<Fault> faults, Failure failure) {
        List<Fault> remaining = new ArrayList<>(faults);
        Failure smallest = failure;
        RunCounters ignoredCounters = new RunCounters();
        int attempts = 0;
        for (int chunk = Math.max(1, remaining.size() / 2); chunk >= 1; chunk /= 2) {
            for (int from = 0; from < remaining.size() && attempts < MAX_REDUCTION_ATTEMPTS; ) {
                List<Fault> candidate = new ArrayList<>(remaining);
                candidate
                        .subList(from, Math.min(remaining.size(), from + chunk))
                        .clear();
                attempts++;
                Optional<Failure> reduced = attempt(seed, candidate, ignoredCounters);
                if (reduced.isPresent() && failureKind(reduced.get()).equals(failureKind(failure))) {
                    remaining = candidate;
                    smallest = reduced.get();
                } else {
                    from += chunk;
                }
            }
        }
        return smallest;
    }

    private static String failureKind(Failure failure) {
        int colon = failure.message().indexOf(':', failure.message().indexOf(':') + 1);
        return colon < 0 ? failure.message() : failure.message().substring(0, colon);
    }
}
