package org.siskintiller.core.model;

import java.util.List;
import java.util.Objects;

/**
 * Published settings of a preset. Exactly one preset is in force.
 *
 * @param weightUnavailable weight of unavailable time in placement decisions
 * @param weightChurn weight of churn in placement decisions
 */
public record PresetConfig(
        String name,
        List<RankLimits> ranks,
        int maxMovesPerMinute,
        int retryBudgetPercent,
        double hotKeyShare,
        double weightUnavailable,
        double weightChurn) {

    public PresetConfig {
        Objects.requireNonNull(name, "name");
        ranks = List.copyOf(ranks);
    }
}
