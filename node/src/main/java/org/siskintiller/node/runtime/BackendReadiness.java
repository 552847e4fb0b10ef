package org.siskintiller.node.runtime;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a session may open for the backend server. After a loss, a new announcement is required, with a delay that
 * doubles with each further loss, so that a backend server that keeps failing does not open and end sessions repeatedly.
 */
final class BackendReadiness {
    /** Backend servers announce themselves every second. */
    private static final long MAX_ANNOUNCEMENT_AGE_NS = TimeUnit.SECONDS.toNanos(3);

    private static final long INITIAL_DELAY_NS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_DOUBLINGS = 5;
    private static final long LOSS_COUNT_RESET_NS = TimeUnit.MINUTES.toNanos(2);

    private boolean announced;
    private boolean lost;
    private long announcedNs;
    private long lostNs;
    private int losses;

    void recordLoss(long nowNs) {
        losses = losses > 0 && nowNs - lostNs < LOSS_COUNT_RESET_NS ? losses + 1 : 1;
        lost = true;
        lostNs = nowNs;
    }

    /** Records an announcement and returns whether the backend server may serve. */
    boolean recordAnnouncement(long nowNs) {
        announced = true;
        announcedNs = nowNs;
        if (lost && nowNs - lostNs >= INITIAL_DELAY_NS << Math.min(losses - 1, MAX_DOUBLINGS)) {
            lost = false;
        }
        return !lost;
    }

    /** Returns whether a new session may open without waiting for the next announcement. */
    boolean isRecentlyAnnounced(long nowNs) {
        return announced && !lost && nowNs - announcedNs < MAX_ANNOUNCEMENT_AGE_NS;
    }
}
