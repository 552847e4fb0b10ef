package org.siskintiller.core.session;

import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.Session;

/**
 * Finds sessions with ended witnesses. A live holder replaces such witnesses soon. A lost holder may have no witness
 * left that detects the loss, so other companions claim its session periodically.
 */
public final class OrphanCheck {
    private static final long CHECK_INTERVAL_NS = 10_000 * SessionTiming.MS;
    /** Average number of companions that claim the same session in one interval. */
    private static final int MEAN_CLAIMANTS = 3;

    private final ControlContext context;
    private final EndClaims claims;
    private long nextCheckNs = Long.MIN_VALUE;
    private long round;

    public OrphanCheck(ControlContext context, EndClaims claims) {
        this.context = context;
        this.claims = claims;
    }

    public void tick() {
        if (nextCheckNs == Long.MIN_VALUE) {
            nextCheckNs = context.nowNs() + CHECK_INTERVAL_NS;
        }
        if (context.nowNs() < nextCheckNs) {
            return;
        }
        nextCheckNs = context.nowNs() + CHECK_INTERVAL_NS;
        round++;
        context.state().forEachOpenSession(session -> {
            if (hasEndedWitness(session) && isClaimedThisRound(session.incarnation())) {
                claims.start(session.incarnation());
            }
        });
    }

    private boolean hasEndedWitness(Session session) {
        for (Incarnation witness : session.witnesses()) {
            if (!context.state().isOpen(witness)) {
                return true;
            }
        }
        return false;
    }

    private boolean isClaimedThisRound(Incarnation holder) {
        long mixed = (context.self().id() * 31 + holder.id() * 17 + round) * 0x9E3779B97F4A7C15L;
        return (mixed >>> 33) % context.state().openSessionCount() < MEAN_CLAIMANTS;
    }
}
