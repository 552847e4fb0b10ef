package org.siskintiller.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Complete published configuration. activePreset is the name of one of the presets. */
public record ClusterConfig(
        List<ServiceConfig> services,
        List<RankConfig> ranks,
        List<CustomerConfig> customers,
        List<PresetConfig> presets,
        String activePreset) {
    public static final ClusterConfig EMPTY = new ClusterConfig(List.of(), List.of(), List.of(), List.of(), "");

    public ClusterConfig {
        services = List.copyOf(services);
        ranks = List.copyOf(ranks);
        customers = List.copyOf(customers);
        presets = List.copyOf(presets);
        Objects.requireNonNull(activePreset, "activePreset");
    }

    public Optional<ServiceConfig> service(String name) {
        for (ServiceConfig service : services) {
            if (service.name().equals(name)) {
                return Optional.of(service);
            }
        }
        return Optional.empty();
    }

    public Optional<RankConfig> rank(String name) {
        for (RankConfig rank : ranks) {
            if (rank.name().equals(name)) {
                return Optional.of(rank);
            }
        }
        return Optional.empty();
    }

    public Optional<PresetConfig> preset(String name) {
        for (PresetConfig preset : presets) {
            if (preset.name().equals(name)) {
                return Optional.of(preset);
            }
        }
        return Optional.empty();
    }

    public ClusterConfig withActivePreset(String preset) {
        return new ClusterConfig(services, ranks, customers, presets, preset);
    }

    public ClusterConfig withoutCustomer(String customer) {
        List<CustomerConfig> remaining = new ArrayList<>(customers);
        remaining.removeIf(config -> config.name().equals(customer));
        return new ClusterConfig(services, ranks, remaining, presets, activePreset);
    }
}
