package org.siskintiller.standin.backend;

/** Blocks the threads that call {@link #await} while the server is frozen. */
final class FreezeGate {
    private static final long NOT_FROZEN = Long.MIN_VALUE;
    private static final long NS_PER_MS = 1_000_000;

    private long frozenUntilNs = NOT_FROZEN;

    /** Freezes the server for a time; 0 ms is until {@link #unfreeze}. */
    synchronized void freeze(long ms) {
        frozenUntilNs = ms == 0 ? Long.MAX_VALUE : System.nanoTime() + ms * NS_PER_MS;
    }

    synchronized void unfreeze() {
        frozenUntilNs = NOT_FROZEN;
        notifyAll();
    }

    synchronized boolean isFrozen() {
        if (frozenUntilNs != NOT_FROZEN && frozenUntilNs != Long.MAX_VALUE && System.nanoTime() - frozenUntilNs >= 0) {
            unfreeze();
        }
        return frozenUntilNs != NOT_FROZEN;
    }

    synchronized void await() throws InterruptedException {
        while (isFrozen()) {
            if (frozenUntilNs == Long.MAX_VALUE) {
                wait();
            } else {
                wait(Math.max(1, (frozenUntilNs - System.nanoTime()) / NS_PER_MS));
            }
        }
    }
}
