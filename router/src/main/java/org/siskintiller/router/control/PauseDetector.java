package org.siskintiller.router.control;

/** Detects a suspended machine: its monotonic clock stops while the time of day goes on. */
final class PauseDetector {
    /** A larger change between the monotonic clock and the time of day means that the machine paused. */
    private static final long CLOCK_JUMP_MS = 400;

    private long offsetMs = offsetNowMs();

    /** Returns the time in ms by which the clocks have moved apart since the last call, 0 for what is usual. */
    long jumpMs() {
        long nowMs = offsetNowMs();
        long differenceMs = Math.abs(nowMs - offsetMs);
        offsetMs = nowMs;
        return differenceMs > CLOCK_JUMP_MS ? differenceMs : 0;
    }

    private static long offsetNowMs() {
        return System.currentTimeMillis() - System.nanoTime() / 1_000_000;
    }
}
