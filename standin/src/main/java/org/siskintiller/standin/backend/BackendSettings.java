package org.siskintiller.standin.backend;

import java.nio.file.Path;
import java.util.Objects;

import org.siskintiller.core.model.Address;

/**
 * Settings of the backend stand-in.
 *
 * @param concurrency number of requests that run at once
 * @param connections connections that the announcement names; the stand-in does not enforce them
 * @param queueLimit requests that may wait for a free place; further ones are shed
 * @param coldStartMs time after the start in which requests take longer
 * @param coldStartFactor factor of the service time directly after the start; it falls linearly to 1
 * @param freezeMs time for which a request with a key that starts with freeze- stops the server; 0 is until it is
 *     released over the faults
 * @param companion address to announce to, or null
 * @param announcedAddress address that the announcement names, or null for the bound one
 * @param journalFile file that gets a line per finished execution, or null
 * @param journalLimit executions kept in memory
 */
record BackendSettings(
        String service,
        int concurrency,
        int connections,
        int queueLimit,
        boolean checksFence,
        ServiceTimes serviceTimes,
        long coldStartMs,
        double coldStartFactor,
        long freezeMs,
        Address companion,
        Address announcedAddress,
        long announceMs,
        Path journalFile,
        int journalLimit,
        long seed) {

    BackendSettings {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(serviceTimes, "serviceTimes");
        if (concurrency < 1 || connections < 1 || queueLimit < 0 || journalLimit < 1 || announceMs < 1) {
            throw new IllegalArgumentException("concurrency, connections, journal limit and announce interval must be"
                    + " at least 1, the queue limit at least 0");
        }
        if (coldStartMs < 0 || freezeMs < 0 || !(coldStartFactor >= 1)) {
            throw new IllegalArgumentException("times must be at least 0, the cold start factor at least 1");
        }
    }
}
