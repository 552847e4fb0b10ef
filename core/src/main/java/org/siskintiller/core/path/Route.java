package org.siskintiller.core.path;

import java.util.List;
import java.util.Objects;

/**
 * Route of a host.
 *
 * @param prefix path prefix, which begins and ends with a slash
 * @param timeoutMs maximum time from arrival to the final response
 * @param objectiveMs time within which a response has its full value
 * @param priority 0 is the most urgent
 * @param maxAttempts maximum number of backend servers that one request of a caller is sent to
 */
public record Route(
        String name,
        String prefix,
        RequestKind kind,
        long timeoutMs,
        long objectiveMs,
        int priority,
        List<WeightedService> services,
        int maxAttempts) {

    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(kind, "kind");
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " names no service");
        }
        if (timeoutMs < 1 || maxAttempts < 1) {
            throw new IllegalArgumentException("route " + name + " needs a timeout and at least one attempt");
        }
    }

    /** Service with its share of a route's requests. */
    public record WeightedService(String service, int weight) {
        public WeightedService {
            Objects.requireNonNull(service, "service");
            if (weight < 0) {
                throw new IllegalArgumentException("weight of " + service + " is negative");
            }
        }
    }
}
