package org.siskintiller.core.evacuation;

/**
 * Evacuation of the failure domain of a backend server, as the gate in front of it applies it. Requests without a key are
 * refused at once, since other domains serve them. Requests with a key are served while their range moves.
 *
 * <p>Load pattern: a zone with a third of the holders is evacuated at full load. Until its ranges have moved, a third of
 * the keyed requests could not be served anywhere.
 */
public final class DomainEvacuation {
    /** Time in which all ranges move: two heartbeats for the release, a record and a grant; 1.9 s in EvacuationTest. */
    private static final long MAX_KEYED_SERVICE_NS = 3_000_000_000L;
    /** Share of the bound for which keyed requests are served; the rest is for the way of the record to the companions. */
    private static final double KEYED_SERVICE_SHARE = 0.6;

    private final long keyedServiceNs;
    private boolean active;
    private long sinceNs;

    /** Creates the state of a domain that is not evacuated. The bound is that within which no request may arrive. */
    public DomainEvacuation(long boundMs) {
        this.keyedServiceNs = Math.min(MAX_KEYED_SERVICE_NS, Math.round(boundMs * 1e6 * KEYED_SERVICE_SHARE));
    }

    /**
     * Applies the newest state and returns whether it differs from the one before.
     *
     * @param sinceNs time at which the evacuation may have begun; later calls do not change it
     */
    public boolean update(boolean isEvacuated, long newSinceNs) {
        if (isEvacuated == active) {
            return false;
        }
        active = isEvacuated;
        sinceNs = newSinceNs;
        return true;
    }

    public boolean active() {
        return active;
    }

    /** Whether a request must not be sent to the backend server. */
    public boolean refuses(boolean isKeyed, long nowNs) {
        return active && (!isKeyed || nowNs - sinceNs >= keyedServiceNs);
    }
}
