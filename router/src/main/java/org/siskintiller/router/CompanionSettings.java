package org.siskintiller.router;

import java.util.Objects;

import org.siskintiller.core.coldstart.ColdBounds;
import org.siskintiller.core.model.Address;
import org.siskintiller.router.request.RouterSettings;

/**
 * Settings of a companion process of the router.
 *
 * @param instance name of the machine that it shares with its backend server
 * @param callers address to which callers and the backend server send requests
 * @param companions address to which other companions connect
 * @param readiness address at which the platform checks whether this process is ready
 * @param heartbeats address to which the backend server sends heartbeats
 * @param metrics address at which metrics are read
 * @param backend address at which the backend server accepts requests
 * @param drainMs time for which a leaving backend server continues to serve after the acknowledgement
 * @param graceMs time from the request to stop until the process is killed
 * @param holdMaxMs maximum hold time of keys that backend servers accept
 * @param grantsByOrder whether the backend server learns its keys by orders and not in the responses to its heartbeats
 * @param evacuateMs time after which no request may reach a backend server of an evacuated failure domain; 0 where
 *     evacuation does not apply
 * @param coldBounds bounds of the requests to a cold backend server
 * @param linkBytesPerSecond rate of the machine's link
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
        boolean grantsByOrder,
        long evacuateMs,
        ColdBounds coldBounds,
        long linkBytesPerSecond,
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
        Objects.requireNonNull(coldBounds, "coldBounds");
        if (linkBytesPerSecond < 1) {
            throw new IllegalArgumentException("the rate of the link must be above 0, not " + linkBytesPerSecond);
        }
    }
}
