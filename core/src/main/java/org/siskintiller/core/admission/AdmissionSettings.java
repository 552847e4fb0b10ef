package org.siskintiller.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;

/** Ranks in order of urgency, weights of customers and the default rank. */
public record AdmissionSettings(List<RankSettings> ranks, Map<String, Integer> weights, String defaultRank) {
    /** Queue limit of a rank for which the preset has no limits. */
    private static final int DEFAULT_QUEUE_LIMIT = 200;

    /** Settings until a configuration is in force. */
    public static final AdmissionSettings INITIAL =
            new AdmissionSettings(List.of(new RankSettings("default", 0, 1, DEFAULT_QUEUE_LIMIT)), Map.of(), "default");

    public AdmissionSettings {
        ranks = List.copyOf(ranks);
        weights = Map.copyOf(weights);
        if (ranks.isEmpty()) {
            throw new IllegalArgumentException("admission needs at least one rank");
        }
    }

    /** Settings of a service under the preset in force. */
    public static AdmissionSettings of(ClusterConfig config, String service) {
        if (config.ranks().isEmpty()) {
            return INITIAL;
        }
        Map<String, RankLimits> limits = new HashMap<>();
        config.preset(config.activePreset())
                .ifPresent(preset -> preset.ranks().forEach(limit -> limits.put(limit.rank(), limit)));
        // Shares above 100% in total are scaled down, so that a configuration error cannot void the guarantees.
        int totalPercent = 0;
        for (RankLimits limit : limits.values()) {
            totalPercent += Math.max(0, limit.guaranteedSharePercent());
        }
        double scale = 1.0 / Math.max(100, totalPercent);
        List<RankSettings> ranks = new ArrayList<>();
        for (RankConfig rank : config.ranks()) {
            RankLimits limit = limits.get(rank.name());
            double share = limit == null ? 0 : Math.max(0, limit.guaranteedSharePercent()) * scale;
            int queueLimit = limit == null ? DEFAULT_QUEUE_LIMIT : Math.max(0, limit.queueLimit());
            ranks.add(new RankSettings(rank.name(), rank.order(), share, queueLimit));
        }
        ranks.sort(Comparator.comparingInt(RankSettings::order).thenComparing(RankSettings::name));
        Map<String, Integer> weights = new HashMap<>();
        for (CustomerConfig customer : config.customers()) {
            weights.put(customer.name(), customer.weight());
        }
        String leastUrgentRank = ranks.get(ranks.size() - 1).name();
        String defaultRank =
                config.service(service).map(ServiceConfig::defaultRank).orElse(leastUrgentRank);
        return new AdmissionSettings(ranks, weights, limits.containsKey(defaultRank) ? defaultRank : leastUrgentRank);
    }
}
