package org.siskintiller.core.model;

import java.util.List;
import java.util.Objects;

/**
 * Session of a companion as recorded in the log.
 *
 * @param httpAddress address for callers and operators
 * @param peerAddress address for other companions, TCP and UDP on the same port
 * @param witnessVersion number of accepted witness changes, 0 when the session opens
 * @param openedOffset offset of the record that opened the session, -1 before it is appended
 */
public record Session(
        Incarnation incarnation,
        String instance,
        String failureDomain,
        Address httpAddress,
        Address peerAddress,
        BackendServer backendServer,
        List<Incarnation> witnesses,
        int witnessVersion,
        long openedOffset,
        boolean draining) {

    public Session {
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(httpAddress, "httpAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(backendServer, "backendServer");
        witnesses = List.copyOf(witnesses);
    }

    public Session withWitnesses(List<Incarnation> newWitnesses, int newVersion) {
        return new Session(
                incarnation,
                instance,
                failureDomain,
                httpAddress,
                peerAddress,
                backendServer,
                newWitnesses,
                newVersion,
                openedOffset,
                draining);
    }

    public Session withOpenedOffset(long offset) {
        return new Session(
                incarnation,
                instance,
                failureDomain,
                httpAddress,
                peerAddress,
                backendServer,
                witnesses,
                witnessVersion,
                offset,
                draining);
    }

    public Session withDraining() {
        return new Session(
                incarnation,
                instance,
                failureDomain,
                httpAddress,
                peerAddress,
                backendServer,
                witnesses,
                witnessVersion,
                openedOffset,
                true);
    }
}
