package org.siskintiller.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.ClusterConfig;
import org.siskintiller.core.model.CustomerConfig;
import org.siskintiller.core.model.PresetConfig;
import org.siskintiller.core.model.RankConfig;
import org.siskintiller.core.model.RankLimits;
import org.siskintiller.core.model.ServiceConfig;

/** Reads a published configuration from an INI text. */
public final class ClusterConfigParser {
    static final String CLUSTER = "cluster";
    static final String SERVICE = "service";
    static final String RANK = "rank";
    static final String CUSTOMER = "customer";
    static final String PRESET = "preset";

    private static final long MAX_TIME_MS = 86_400_000;
    private static final int MAX_SLOTS = 65_536;
    private static final int DEFAULT_SLOTS = 256;
    private static final int MAX_STANDBYS = 2;
    private static final long DEFAULT_IDEMPOTENCY_WINDOW_MS = 600_000;
    private static final long MAX_ORDER = 1_000;
    private static final long MAX_WEIGHT = 1_000_000;
    private static final long MAX_QUEUE_LIMIT = 1_000_000;
    private static final long DEFAULT_QUEUE_LIMIT = 64;
    private static final long DEFAULT_DEADLINE_MS = 1_000;
    private static final long MAX_MOVES_PER_MINUTE = 100_000;
    private static final long DEFAULT_MAX_MOVES_PER_MINUTE = 60;
    private static final long DEFAULT_RETRY_BUDGET_PERCENT = 10;
    private static final double MIN_HOT_KEY_SHARE = 0.001;
    private static final double DEFAULT_HOT_KEY_SHARE = 0.1;
    private static final double DEFAULT_WEIGHT = 1;

    private final IniProblems problems;
    private final List<ServiceConfig> services = new ArrayList<>();
    private final List<RankConfig> ranks = new ArrayList<>();
    private final List<CustomerConfig> customers = new ArrayList<>();
    private final Map<String, PresetConfig> presets = new LinkedHashMap<>();
    private final Map<String, List<RankLimits>> rankLimits = new LinkedHashMap<>();
    private String activePreset;

    private ClusterConfigParser(String file) {
        this.problems = new IniProblems(file);
    }

    /**
     * Parses and validates a text.
     *
     * @param file file name that the problems mention; the file is not read
     */
    public static Parsed<ClusterConfig> parse(String file, String text) {
        return new ClusterConfigParser(file).read(text);
    }

    private Parsed<ClusterConfig> read(String text) {
        List<IniSection> sections = IniText.split(text, "", problems);
        if (sections.isEmpty() && !problems.isEmpty()) {
            return new Parsed.Invalid<>(problems.list());
        }
        sections.forEach(this::read);
        if (activePreset == null) {
            problems.add(CLUSTER, "active_preset", "has no value", "add [cluster] with active_preset = NAME");
        }
        rankLimits.keySet().forEach(this::checkPresetExists);
        ClusterConfig config = new ClusterConfig(
                services, ranks, customers, presetsWithLimits(), activePreset == null ? "" : activePreset);
        ClusterConfigRules.check(config, problems);
        return Parsed.of(problems.list(), () -> config);
    }

    private void read(IniSection section) {
        List<String> words = section.words();
        String kind = words.get(0);
        if (kind.equals(CLUSTER) && words.size() == 1) {
            activePreset = section.text("active_preset");
        } else if (kind.equals(SERVICE) && words.size() == 2) {
            services.add(service(name(section, 1), section));
        } else if (kind.equals(RANK) && words.size() == 2) {
            ranks.add(rank(name(section, 1), section));
        } else if (kind.equals(CUSTOMER) && words.size() == 2) {
            customers.add(new CustomerConfig(name(section, 1), (int) section.number("weight", 1, MAX_WEIGHT, 1)));
        } else if (kind.equals(PRESET) && words.size() == 2) {
            presets.put(words.get(1), preset(name(section, 1), section));
        } else if (kind.equals(PRESET) && words.size() == 4 && words.get(2).equals(RANK)) {
            rankLimits.computeIfAbsent(name(section, 1), n -> new ArrayList<>()).add(limits(name(section, 3), section));
        } else {
            problems.add(
                    section.name(),
                    "",
                    "is not a known section",
                    "use [cluster], [service NAME], [rank NAME], [customer NAME], [preset NAME] or"
                            + " [preset NAME rank RANK]");
            return;
        }
        section.reportUnknownKeys();
    }

    private String name(IniSection section, int wordIndex) {
        String name = section.words().get(wordIndex);
        Names.check(section.name(), "", name, problems);
        return name;
    }

    private ServiceConfig service(String name, IniSection section) {
        return new ServiceConfig(
                name,
                section.bool("keyed"),
                section.bool("idempotent"),
                section.bool("checks_fence"),
                (int) section.number("slots", 1, MAX_SLOTS, DEFAULT_SLOTS),
                (int) section.number("standbys", 1, MAX_STANDBYS, MAX_STANDBYS),
                section.number("longest_request_ms", 1, MAX_TIME_MS),
                section.text("default_rank"),
                section.number("idempotency_window_ms", 1_000, MAX_TIME_MS, DEFAULT_IDEMPOTENCY_WINDOW_MS));
    }

    private RankConfig rank(String name, IniSection section) {
        int order = (int) section.number("order", 0, MAX_ORDER);
        return new RankConfig(name, order, section.number("target_ms", 1, MAX_TIME_MS));
    }

    private PresetConfig preset(String name, IniSection section) {
        return new PresetConfig(
                name,
                List.of(),
                (int) section.number("max_moves_per_minute", 0, MAX_MOVES_PER_MINUTE, DEFAULT_MAX_MOVES_PER_MINUTE),
                (int) section.number("retry_budget_percent", 0, 100, DEFAULT_RETRY_BUDGET_PERCENT),
                section.decimal("hot_key_share", MIN_HOT_KEY_SHARE, 1, DEFAULT_HOT_KEY_SHARE),
                section.decimal("weight_unavailable", 0, MAX_WEIGHT, DEFAULT_WEIGHT),
                section.decimal("weight_churn", 0, MAX_WEIGHT, DEFAULT_WEIGHT));
    }

    private RankLimits limits(String rank, IniSection section) {
        return new RankLimits(
                rank,
                (int) section.number("guaranteed_share_percent", 0, 100),
                (int) section.number("queue_limit", 1, MAX_QUEUE_LIMIT, DEFAULT_QUEUE_LIMIT),
                section.number("deadline_ms", 1, MAX_TIME_MS, DEFAULT_DEADLINE_MS));
    }

    private void checkPresetExists(String preset) {
        if (!presets.containsKey(preset)) {
            problems.add(PRESET + " " + preset, "", "has rank limits but no section", "add [preset " + preset + "]");
        }
    }

    private List<PresetConfig> presetsWithLimits() {
        List<PresetConfig> withLimits = new ArrayList<>();
        for (PresetConfig preset : presets.values()) {
            withLimits.add(new PresetConfig(
                    preset.name(),
                    rankLimits.getOrDefault(preset.name(), List.of()),
                    preset.maxMovesPerMinute(),
                    preset.retryBudgetPercent(),
                    preset.hotKeyShare(),
                    preset.weightUnavailable(),
                    preset.weightChurn()));
        }
        return withLimits;
    }
}
