package org.siskintiller.config;

import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;

/** Writes a published configuration as an INI text that the parser reads back. */
public final class ClusterConfigWriter {

    private ClusterConfigWriter() {}

    public static String write(ClusterConfig config) {
        IniWriter out = new IniWriter();
        out.section(ClusterConfigParser.CLUSTER);
        out.line("active_preset", config.activePreset());
        config.services().forEach(service -> write(service, out));
        config.ranks().forEach(rank -> write(rank, out));
        config.customers().forEach(customer -> write(customer, out));
        config.presets().forEach(preset -> write(preset, out));
        return out.toString();
    }

    private static void write(ServiceConfig service, IniWriter out) {
        out.section(ClusterConfigParser.SERVICE + " " + service.name());
        out.line("keyed", service.keyed());
        out.line("idempotent", service.idempotent());
        out.line("checks_fence", service.checksFence());
        out.line("slots", service.slots());
        out.line("standbys", service.standbys());
        out.line("longest_request_ms", service.longestRequestMs());
        out.line("default_rank", service.defaultRank());
        out.line("idempotency_window_ms", service.idempotencyWindowMs());
    }

    private static void write(RankConfig rank, IniWriter out) {
        out.section(ClusterConfigParser.RANK + " " + rank.name());
        out.line("order", rank.order());
        out.line("target_ms", rank.targetMs());
    }

    private static void write(CustomerConfig customer, IniWriter out) {
        out.section(ClusterConfigParser.CUSTOMER + " " + customer.name());
        out.line("weight", customer.weight());
    }

    private static void write(PresetConfig preset, IniWriter out) {
        String section = ClusterConfigParser.PRESET + " " + preset.name();
        out.section(section);
        out.line("max_moves_per_minute", preset.maxMovesPerMinute());
        out.line("retry_budget_percent", preset.retryBudgetPercent());
        out.line("hot_key_share", preset.hotKeyShare());
        out.line("weight_unavailable", preset.weightUnavailable());
        out.line("weight_churn", preset.weightChurn());
        for (RankLimits limits : preset.ranks()) {
            out.section(section + " " + ClusterConfigParser.RANK + " " + limits.rank());
            out.line("guaranteed_share_percent", limits.guaranteedSharePercent());
            out.line("queue_limit", limits.queueLimit());
            out.line("deadline_ms", limits.deadlineMs());
        }
    }
}
