package org.siskintiller.core.quarantine;

import java.util.Set;

import org.siskintiller.core.model.Incarnation;

/**
 * Losses of backend servers while they ran a request, as a companion records them for later processes.
 *
 * @param lostAt runs beside this companion that were lost
 * @param foundAtMs time of day of the last loss, in ms since 1970
 */
public record RecordedLoss(long fingerprint, Set<Incarnation> lostAt, long foundAtMs) {

    public RecordedLoss {
        lostAt = Set.copyOf(lostAt);
    }
}
