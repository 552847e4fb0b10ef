package org.siskintiller.router.peer;

import java.util.List;
import java.util.Objects;

import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.core.evacuation.Evacuation;
import org.siskintiller.core.lease.StoreEra;

/**
 * State that a companion reports to the others.
 *
 * @param service service of its backend server
 * @param serving whether its backend server accepts requests
 * @param configVersion version of its configuration in force
 * @param recordsEnd offset after the last record of the control topic that it knows
 * @param authorityResponsive whether it recently received a message from the lease authority
 * @param storeAgeMs age of its last contact with the store
 * @param reachesStore whether its latest read of the store neither failed nor is overdue
 * @param configUpdateBytes size of the update that brought its configuration
 * @param evacuations newest states that it knows of all failure domains that were ever evacuated
 * @param coldMs time for which its backend server stays cold
 * @param storeEra era of the store in which the end of its records is valid
 */
public record PeerStatus(
        String service,
        boolean serving,
        BackendLoad load,
        long configVersion,
        long recordsEnd,
        boolean authorityResponsive,
        long storeAgeMs,
        boolean reachesStore,
        int configUpdateBytes,
        List<Evacuation> evacuations,
        long coldMs,
        long storeEra) {

    public PeerStatus {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(load, "load");
        evacuations = List.copyOf(evacuations);
    }

    /** End of its records, ordered by era. */
    public long recordsPosition() {
        return StoreEra.position(storeEra, recordsEnd);
    }
}
