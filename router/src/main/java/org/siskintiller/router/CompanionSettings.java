package org.siskintiller.router;

import java.util.Objects;

import org.siskintiller.core.model.Address;
import org.siskintiller.router.request.RouterSettings;

/**
 * Settings of a companion process on the router path.
 *
 * @param instance name of the machine that it shares with its backend server
 * @param callers where callers and the backend server send requests
 * @param companions where other companions connect
 * @param readiness where the platform asks whether this process is ready
 * @param heartbeats where the backend server sends heartbeats
 * @param metrics where metrics are read
 * @param backend where the backend server accepts requests
 * @param drainMs time that a leaving backend server serves on after the acknowledgement
 * @param graceMs time from the request to stop until the process is killed
 * @param holdMaxMs longest hold time of keys that backend servers accept
 */
public record CompanionSettings(
        String instance,
        String failureDomain,
        String service,
        Address callers,
        Address companions,
        Address readiness,
        Address heartbeats,
        Address metrics,
        Address backend,
        long drainMs,
        long graceMs,
        long holdMaxMs,
        RouterSettings router) {

    public CompanionSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(companions, "companions");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(heartbeats, "heartbeats");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(backend, "backend");
        Objects.requireNonNull(router, "router");
    }
}
