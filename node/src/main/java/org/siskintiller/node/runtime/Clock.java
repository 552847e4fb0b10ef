package org.siskintiller.node.runtime;

/** Monotonic clock and wall clock of the process. */
public final class Clock {

    private Clock() {}

    /** Monotonic time in ns. */
    public static long nowNs() {
        return System.nanoTime();
    }

    public static long wallMs() {
        return System.currentTimeMillis();
    }
}
