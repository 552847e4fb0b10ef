package org.siskintiller.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;

/** Rules that relate several sections of a published configuration. */
public final class ClusterConfigRules {
    /**
     * Maximum duration of a keyed request of a service that does not check fences. A successor waits for the lease to
     * expire (1200 ms), then for this time, and must serve within 2000 ms; this leaves 200 ms for the drift margin, the
     * claim and activation.
     */
    public static final long MAX_UNFENCED_REQUEST_MS = 600;

    private static final int MAX_TOTAL_SHARE_PERCENT = 100;

    private ClusterConfigRules() {}

    /** Checks a configuration that was not parsed from a file, such as one whose active preset was replaced. */
    public static List<ConfigProblem> check(String file, ClusterConfig config) {
        IniProblems problems = new IniProblems(file);
        check(config, problems);
        return problems.list();
    }

    static void check(ClusterConfig config, IniProblems problems) {
        checkNotEmpty(config, problems);
        config.services().forEach(service -> checkService(service, config, problems));
        checkRankOrders(config.ranks(), problems);
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

    private static void checkNotEmpty(ClusterConfig config, IniProblems problems) {
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
        if (service.keyed() && !service.checksFence() && service.longestRequestMs() > MAX_UNFENCED_REQUEST_MS) {
            problems.add(
                    section,
                    "longest_request_ms",
                    service.longestRequestMs() + " is too long for a keyed service with checks_fence = false:"
                            + " a lost owner's keys would be served again after more than 2000 ms",
                    "use at most " + MAX_UNFENCED_REQUEST_MS + " or let the backend servers check fences");
        }
    }

    private static void checkRankOrders(List<RankConfig> ranks, IniProblems problems) {
        Map<Integer, String> namesByOrder = new HashMap<>();
        for (RankConfig rank : ranks) {
            String other = namesByOrder.putIfAbsent(rank.order(), rank.name());
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
        int totalSharePercent = 0;
        for (RankLimits limits : preset.ranks()) {
            totalSharePercent += limits.guaranteedSharePercent();
            if (config.rank(limits.rank()).isEmpty()) {
                problems.add(
                        section + " rank " + limits.rank(),
                        "",
                        "rank '" + limits.rank() + "' does not exist",
                        "add [rank " + limits.rank() + "] or remove this section");
            }
        }
        if (totalSharePercent > MAX_TOTAL_SHARE_PERCENT) {
            problems.add(
                    section,
                    "guaranteed_share_percent",
                    "the ranks' shares add up to " + totalSharePercent,
                    "lower them to a sum of at most " + MAX_TOTAL_SHARE_PERCENT);
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
