package org.siskintiller.logclient;

import java.time.Duration;
import java.util.Objects;

import org.siskintiller.core.model.Address;

/**
 * Settings of a log client.
 *
 * @param requestTimeout maximum time from the start of a request to the end of its response; a read adds its wait time
 * @param maxRequestBytes maximum body size of an append
 * @param maxResponseBytes maximum body size of a response, so that a faulty log service cannot exhaust the memory
 */
public record LogClientSettings(
        Address address, Duration connectTimeout, Duration requestTimeout, int maxRequestBytes, int maxResponseBytes) {
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofMillis(2000);

    /** A snapshot of 5,200 sessions and their slots must fit into one record. */
    private static final int DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024;

    public LogClientSettings {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(connectTimeout, "connectTimeout");
        Objects.requireNonNull(requestTimeout, "requestTimeout");
    }

    public static LogClientSettings defaults(Address address) {
        return new LogClientSettings(
                address,
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_REQUEST_TIMEOUT,
                DEFAULT_MAX_BODY_BYTES,
                DEFAULT_MAX_BODY_BYTES);
    }
}
