package org.siskintiller.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;

/** Rules that concern several sections of a published configuration. */
public final class ClusterConfigRules {
    /**
     * Longest keyed request of a service that does not check fences. A successor waits for the lease (1200 ms), then
     * for this time, and has to serve within 2000 ms; 200 ms remain for the drift margin, the claim and activation.
     */
    public static final long LONGEST_UNFENCED_REQUEST_MS = 600;

    private static final int FULL_SHARE_PERCENT = 100;

    private ClusterConfigRules() {}

    /** Checks a configuration that was not read from a file, such as one with a replaced active preset. */
    public static List<ConfigProblem> check(String file, ClusterConfig config) {
        IniProblems problems = new IniProblems(file);
        check(config, problems);
        return problems.list();
    }

    static void check(ClusterConfig config, IniProblems problems) {
        checkCounts(config, problems);
        config.services().forEach(service -> checkService(service, config, problems));
        checkOrders(config.ranks(), problems);
        config.presets().forEach(preset -> checkPreset(preset, config, problems));
        String active = config.activePreset();
        if (!active.isEmpty() && config.preset(active).isEmpty()) {
            problems.add(
                    ClusterConfigParser.CLUSTER,
                    "active_preset",
                    "preset '" + active + "' does not exist",
                    "add [preset " + active + "] or name another preset");
        }
    }

    private static void checkCounts(ClusterConfig config, IniProblems problems) {
        if (config.services().isEmpty()) {
            problems.add("", "", "has no service", "add a section [service NAME]");
        }
        if (config.ranks().isEmpty()) {
            problems.add("", "", "has no rank", "add a section [rank NAME]");
        }
        if (config.presets().isEmpty()) {
            problems.add("", "", "has no preset", "add a section [preset NAME]");
        }
    }

    private static void checkService(ServiceConfig service, ClusterConfig config, IniProblems problems) {
        String section = ClusterConfigParser.SERVICE + " " + service.name();
        String rank = service.defaultRank();
        if (!rank.isEmpty() && config.rank(rank).isEmpty()) {
            problems.add(
                    section,
                    "default_rank",
                    "rank '" + rank + "' does not exist",
                    "add [rank " + rank + "] or name another rank");
        }
        if (service.keyed() && !service.checksFence() && service.longestRequestMs() > LONGEST_UNFENCED_REQUEST_MS) {
            problems.add(
                    section,
                    "longest_request_ms",
                    service.longestRequestMs() + " is too long for a keyed service with checks_fence = false:"
                            + " a lost owner's keys would be served again after more than 2000 ms",
                    "use at most " + LONGEST_UNFENCED_REQUEST_MS + " or let the backend servers check fences");
        }
    }

    private static void checkOrders(List<RankConfig> ranks, IniProblems problems) {
        Map<Integer, String> byOrder = new HashMap<>();
        for (RankConfig rank : ranks) {
            String other = byOrder.putIfAbsent(rank.order(), rank.name());
            if (other != null) {
                problems.add(
                        ClusterConfigParser.RANK + " " + rank.name(),
                        "order",
                        rank.order() + " is also the order of rank '" + other + "'",
                        "give each rank its own order, 0 for the most urgent");
            }
        }
    }

    private static void checkPreset(PresetConfig preset, ClusterConfig config, IniProblems problems) {
        String section = ClusterConfigParser.PRESET + " " + preset.name();
        int sum = 0;
        for (RankLimits limits : preset.ranks()) {
            sum += limits.guaranteedSharePercent();
            if (config.rank(limits.rank()).isEmpty()) {
                problems.add(
                        section + " rank " + limits.rank(),
                        "",
                        "rank '" + limits.rank() + "' does not exist",
                        "add [rank " + limits.rank() + "] or remove this section");
            }
        }
        if (sum > FULL_SHARE_PERCENT) {
            problems.add(
                    section,
                    "guaranteed_share_percent",
                    "the ranks' shares add up to " + sum,
                    "lower them to a sum of at most " + FULL_SHARE_PERCENT);
        }
        for (RankConfig rank : config.ranks()) {
            if (preset.ranks().stream().noneMatch(limits -> limits.rank().equals(rank.name()))) {
                problems.add(
                        section,
                        "",
                        "rank '" + rank.name() + "' has no limits",
                        "add [" + section + " rank " + rank.name() + "]");
            }
        }
    }
}
