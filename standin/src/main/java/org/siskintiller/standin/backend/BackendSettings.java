package org.siskintiller.standin.backend;

import java.nio.file.Path;
import java.util.Objects;

import org.siskintiller.core.model.Address;

/**
 * Settings of the backend stand-in.
 *
 * @param concurrency maximum number of requests that run concurrently
 * @param connections connection limit in the announcement; the stand-in does not enforce it
 * @param queueLimit maximum number of requests that wait to run; further ones are shed
 * @param coldStartMs time after the start during which requests take longer
 * @param coldStartFactor factor of the service time directly after the start; it decreases linearly to 1
 * @param freezeMs duration of the freeze that a request with a key that starts with freeze- triggers; 0 is until the
 *     server is unfrozen by its faults
 * @param companion address to announce to, or null
 * @param announcedAddress address in the announcement, or null for the bound address
 * @param journalFile file to which a line per finished execution is appended, or null
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
