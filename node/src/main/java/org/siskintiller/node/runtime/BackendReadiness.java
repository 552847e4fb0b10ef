package org.siskintiller.node.runtime;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a session may open with the backend server. After a loss it waits for a new announcement, and longer
 * after each further loss, so that a backend server that keeps failing doesn't open and end sessions in turns.
 */
final class BackendReadiness {
    /** Backend servers announce themselves every second. */
    private static final long RECENT_NS = TimeUnit.SECONDS.toNanos(3);

    private static final long FIRST_WAIT_NS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 5;
    private static final long FORGET_NS = TimeUnit.MINUTES.toNanos(2);

    private boolean announced;
    private boolean lost;
    private long announcedNs;
    private long lostNs;
    private int losses;

    void lost(long nowNs) {
        losses = losses > 0 && nowNs - lostNs < FORGET_NS ? losses + 1 : 1;
        lost = true;
        lostNs = nowNs;
    }

    /** Notes an announcement and returns whether the backend server may serve. */
    boolean announced(long nowNs) {
        announced = true;
        announcedNs = nowNs;
        if (lost && nowNs - lostNs >= FIRST_WAIT_NS << Math.min(losses - 1, MAX_DOUBLINGS)) {
            lost = false;
        }
        return !lost;
    }

    /** Returns whether a new session may open without waiting for the next announcement. */
    boolean recentlyAnnounced(long nowNs) {
        return announced && !lost && nowNs - announcedNs < RECENT_NS;
    }
}
