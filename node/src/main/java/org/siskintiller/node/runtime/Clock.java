package org.siskintiller.node.runtime;

/** Clocks of the process. */
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
