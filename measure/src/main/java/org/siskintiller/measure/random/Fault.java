package org.siskintiller.measure.random;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Scheduled fault of a run.
 *
 * @param target index of the companion that the fault affects, or whose failure domain it affects
 */
record Fault(long atMs, Kind kind, int target, long durationMs) {

    enum Kind {
        PAUSE,
        KILL_COMPANION,
        KILL_INSTANCE,
        GRACEFUL_STOP,
        CUT_BOTH_WAYS,
        CUT_INBOUND,
        CUT_OUTBOUND,
        CUT_FROM_LOG,
        SPLIT_DOMAIN,
        LOG_DOWN,
        LOG_SLOW,
        LOG_FAULTY,
        FREEZE_SERVER,
        CRASH_REQUEST,
        OPERATOR_RACE,
        DRAIN_REQUEST,
        LOSE_DOMAIN
    }

    private static final Kind[] KINDS = Kind.values();

    /** Draws the faults of a run. A quarter of them are followed by another one within a second. */
    static List<Fault> plan(Random random, long durationMs, long meanIntervalMs, int companions) {
        List<Fault> plan = new ArrayList<>();
        double timeMs = 5_000;
        while (true) {
            timeMs += -Math.log(1 - random.nextDouble()) * meanIntervalMs;
            if (timeMs >= durationMs) {
                return plan;
            }
            plan.add(draw(random, (long) timeMs, companions));
            if (random.nextInt(4) == 0) {
                plan.add(draw(random, (long) timeMs + random.nextInt(1_000), companions));
            }
        }
    }

    private static Fault draw(Random random, long atMs, int companions) {
        Kind kind = KINDS[random.nextInt(KINDS.length)];
        if (kind == Kind.LOSE_DOMAIN && random.nextInt(4) != 0) {
            kind = Kind.PAUSE;
        }
        long duration = 200 + (long) (random.nextDouble() * random.nextDouble() * 12_000);
        if (kind == Kind.LOG_DOWN) {
            duration = 1_000 + random.nextInt(30_000);
        }
        return new Fault(atMs, kind, random.nextInt(companions), duration);
    }
}
