package org.siskintiller.core.session;

import org.siskintiller.core.control.ControlContext;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.Session;

/**
 * Finds sessions whose witnesses have ended. A holder that lives replaces such witnesses soon, and a lost one has
 * nobody left who would notice, so other companions claim it from time to time.
 */
public final class OrphanCheck {
    private static final long INTERVAL_NS = 10_000 * SessionTiming.MS;
    /** Companions that claim the same session in one interval, on average. */
    private static final int CLAIMANTS = 3;

    private final ControlContext context;
    private final EndClaims claims;
    private long nextNs = Long.MIN_VALUE;
    private long round;

    public OrphanCheck(ControlContext context, EndClaims claims) {
        this.context = context;
        this.claims = claims;
    }

    public void tick() {
        if (nextNs == Long.MIN_VALUE) {
            nextNs = context.nowNs() + INTERVAL_NS;
        }
        if (context.nowNs() < nextNs) {
            return;
        }
        nextNs = context.nowNs() + INTERVAL_NS;
        round++;
        context.state().forEachOpenSession(session -> {
            if (hasEndedWitness(session) && isDrawn(session.incarnation())) {
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

    private boolean isDrawn(Incarnation holder) {
        long mixed = (context.self().id() * 31 + holder.id() * 17 + round) * 0x9E3779B97F4A7C15L;
        return (mixed >>> 33) % context.state().openSessionCount() < CLAIMANTS;
    }
}
