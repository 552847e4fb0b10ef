package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.siskintiller.core.model.SlotId;

/** Measures the time without an owner after losses and planned stops, one run for each. */
public final class RecoveryExperiment {
    private static final long MS = 1_000_000;
    private static final long START_MS = 6_000;
    private static final long LOG_DOWN_MS = 500;
    private static final long OBSERVATION_MS = 6_000;
    private static final FaultSettings NETWORK_ONLY =
            new FaultSettings(0.001, 0, 2, 0, 0, 1_000_000, 0, 0, Mutation.NONE);

    private RecoveryExperiment() {}

    /** Kinds of events whose effect is measured. */
    public enum Kind {
        LOSS,
        LOSS_WHILE_LOG_DOWN,
        LOSS_WITHOUT_FENCE_CHECK,
        PLANNED_STOP
    }

    /**
     * Times of all slots of all runs in ms.
     *
     * @param runsOverTarget runs in which a slot had no owner for longer than the target, or still had none at the end
     */
    public record Result(int runs, int slots, double medianMs, double p99Ms, double maxMs, int runsOverTarget) {}

    /** Runs the seeds from 1 to the number of runs. */
    public static Result run(Kind kind, int runs, long targetMs) {
        List<Long> gapsNs = new ArrayList<>();
        int runsOverTarget = 0;
        for (long seed = 1; seed <= runs; seed++) {
            List<Long> gaps = runOnce(kind, seed);
            gapsNs.addAll(gaps);
            if (gaps.stream().anyMatch(gap -> gap > targetMs * MS)) {
                runsOverTarget++;
            }
        }
        long[] sorted = gapsNs.stream().mapToLong(Long::longValue).sorted().toArray();
        return new Result(
                runs,
                sorted.length,
                percentile(sorted, 0.5),
                percentile(sorted, 0.99),
                percentile(sorted, 1),
                runsOverTarget);
    }

    private static List<Long> runOnce(Kind kind, long seed) {
        RandomRun run = new RandomRun(seed, START_MS, List.of(), NETWORK_ONLY);
        run.startWithoutFaults();
        // Varies the time of the loss, so that it is not aligned with the heartbeats.
        run.queue().runUntil(START_MS * MS + Math.floorMod(seed * 7_919, 400) * MS);
        if (kind == Kind.LOSS_WHILE_LOG_DOWN) {
            run.log().setMode(FakeLog.Mode.DOWN);
            run.queue().runUntil(run.queue().nowNs() + LOG_DOWN_MS * MS);
        }
        int service = kind == Kind.LOSS_WITHOUT_FENCE_CHECK ? 1 : 0;
        CompanionProcess victim = run.companions().get(service * 3 + (int) (seed % 3));
        run.ownerGaps().reset();
        if (kind == Kind.PLANNED_STOP) {
            victim.stopGracefully();
        } else {
            long nowNs = run.queue().nowNs();
            for (SlotId slot : victim.control().openSlots().keySet()) {
                run.ownerGaps().recordLoss(slot, nowNs);
            }
            victim.kill();
            victim.server().crash();
        }
        run.queue().runUntil(run.queue().nowNs() + OBSERVATION_MS * MS);
        return run.ownerGaps().gapsNs(run.queue().nowNs());
    }

    private static double percentile(long[] sorted, double quantile) {
        if (sorted.length == 0) {
            return 0;
        }
        int index = (int) Math.min(sorted.length - 1, Math.floor(sorted.length * quantile));
        return Arrays.stream(sorted).skip(index).findFirst().orElse(0) / (double) MS;
    }
}
