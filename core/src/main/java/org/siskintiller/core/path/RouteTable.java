package org.siskintiller.core.path;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** Configuration in force: routes by host, services and limits. */
public final class RouteTable {
    private final long version;
    private final Map<String, List<Route>> hosts;
    private final Map<String, ServiceSpec> services;
    private final CallerLimits limits;

    public RouteTable(
            long version, Map<String, List<Route>> hosts, Map<String, ServiceSpec> services, CallerLimits limits) {
        this.version = version;
        Map<String, List<Route>> copy = new HashMap<>();
        hosts.forEach((host, routes) -> copy.put(host.toLowerCase(Locale.ROOT), List.copyOf(routes)));
        this.hosts = Map.copyOf(copy);
        this.services = Map.copyOf(services);
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    public Map<String, ServiceSpec> services() {
        return services;
    }

    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the route of the host with the longest prefix of the path. */
    public Optional<Route> find(String host, String path) {
        Route best = null;
        for (Route route : hosts.getOrDefault(hostName(host), List.of())) {
            if (path.startsWith(route.prefix())
                    && (best == null || route.prefix().length() > best.prefix().length())) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }

    public int routeCount() {
        return hosts.values().stream().mapToInt(List::size).sum();
    }

    private static String hostName(String host) {
        String lower = host.toLowerCase(Locale.ROOT);
        int port = lower.indexOf(':');
        return port < 0 ? lower : lower.substring(0, port);
    }
}
