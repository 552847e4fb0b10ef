package org.siskintiller.standin.backend;

/** Stops every thread of the server that passes it while the server is frozen. */
final class FreezeGate {
    private static final long NOT_FROZEN = Long.MIN_VALUE;
    private static final long NS_PER_MS = 1_000_000;

    private long untilNs = NOT_FROZEN;

    /** Freezes the server; 0 ms is until it is released. */
    synchronized void freeze(long ms) {
        untilNs = ms == 0 ? Long.MAX_VALUE : System.nanoTime() + ms * NS_PER_MS;
    }

    synchronized void release() {
        untilNs = NOT_FROZEN;
        notifyAll();
    }

    synchronized boolean isFrozen() {
        if (untilNs != NOT_FROZEN && untilNs != Long.MAX_VALUE && System.nanoTime() - untilNs >= 0) {
            release();
        }
        return untilNs != NOT_FROZEN;
    }

    synchronized void await() throws InterruptedException {
        while (isFrozen()) {
            if (untilNs == Long.MAX_VALUE) {
                wait();
            } else {
                wait(Math.max(1, (untilNs - System.nanoTime()) / NS_PER_MS));
            }
        }
    }
}
