package org.siskintiller.core.balance;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Available backend servers of a service in one failure domain. */
public record Domain(String name, List<DelayEstimate> servers) {
    /** Occupancy up to which a domain accepts requests of others. It keeps room for waves of its own demand. */
    private static final double MAX_SHARED_OCCUPANCY = 0.85;

    public Domain {
        Objects.requireNonNull(name, "name");
        servers = List.copyOf(servers);
    }

    Domain without(Set<String> instances) {
        List<DelayEstimate> remaining = servers.stream()
                .filter(server -> !instances.contains(server.instance()))
                .toList();
        return new Domain(name, remaining);
    }

    public double capacityPerSecond() {
        return servers.stream()
                .mapToDouble(server -> server.load().capacityPerSecond())
                .sum();
    }

    /** Requests per second of other domains that it can complete. */
    public double sparePerSecond() {
        double busy = servers.stream()
                .mapToDouble(server -> server.load().busyPerSecond())
                .sum();
        return Math.max(0, capacityPerSecond() * MAX_SHARED_OCCUPANCY - busy);
    }

    /** Mean wait of a request for a slot, 0 without servers. */
    public double waitNs() {
        return mean(server -> server.load().lastWaitNs());
    }

    /** Mean time in execution, 0 without servers. */
    public double serviceNs() {
        return mean(server -> server.load().serviceNs());
    }

    private double mean(ToDoubleFunction<DelayEstimate> value) {
        double sum = 0;
        for (DelayEstimate server : servers) {
            sum += value.applyAsDouble(server) * server.load().capacityPerSecond();
        }
        return servers.isEmpty() ? 0 : sum / capacityPerSecond();
    }
}
