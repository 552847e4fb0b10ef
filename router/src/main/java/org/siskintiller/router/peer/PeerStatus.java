package org.siskintiller.router.peer;

import java.util.Objects;

import org.siskintiller.core.balance.BackendLoad;

/**
 * What a companion tells of itself.
 *
 * @param service service of its backend server
 * @param serving whether its backend server takes requests
 * @param configVersion version of the configuration in force there
 * @param recordsEnd offset up to which it knows the records of the control topic
 * @param authorityResponsive whether it hears the lease authority
 * @param storeAgeMs age of its last contact with the store
 */
public record PeerStatus(
        String service,
        boolean serving,
        BackendLoad load,
        long configVersion,
        long recordsEnd,
        boolean authorityResponsive,
        long storeAgeMs) {

    public PeerStatus {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(load, "load");
    }
}
