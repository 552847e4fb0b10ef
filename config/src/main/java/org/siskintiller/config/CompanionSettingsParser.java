package org.siskintiller.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.siskintiller.config.CompanionSettings.Limits;
import org.siskintiller.config.CompanionSettings.Translation;
import org.siskintiller.core.model.Address;

/** Reads the process settings of a companion from an INI text. */
public final class CompanionSettingsParser {
    static final String COMPANION = "companion";
    static final String LOG = "log";
    static final String LIMITS = "limits";
    static final String PEERS = "peers";

    private static final Set<String> SECTIONS = Set.of(COMPANION, LOG, LIMITS, PEERS);
    private static final long MAX_HEADER_BYTES = 1 << 20;
    private static final long MAX_BODY_BYTES = 1L << 40;
    private static final long MAX_TIMEOUT_MS = 3_600_000;
    private static final long MAX_CALLERS = 100_000;

    private final IniProblems problems;

    private CompanionSettingsParser(String file) {
        this.problems = new IniProblems(file);
    }

    /**
     * Parses a text.
     *
     * @param file file name that the problems mention; the file is not read
     */
    public static Parsed<CompanionSettings> parse(String file, String text) {
        return new CompanionSettingsParser(file).read(text);
    }

    private Parsed<CompanionSettings> read(String text) {
        Map<String, IniSection> sections = new TreeMap<>();
        for (IniSection section : IniText.split(text, PEERS, problems)) {
            if (SECTIONS.contains(section.name())) {
                sections.put(section.name(), section);
            } else {
                problems.add(
                        section.name(), "", "is not a known section", "use [companion], [log], [limits] or [peers]");
            }
        }
        if (!problems.isEmpty() && sections.isEmpty()) {
            return new Parsed.Invalid<>(problems.list());
        }
        CompanionSettings settings = settings(sections);
        return Parsed.of(problems.list(), () -> settings);
    }

    private CompanionSettings settings(Map<String, IniSection> sections) {
        IniSection companion = sectionOrEmpty(sections, COMPANION);
        String instance = Names.read(companion, "instance", problems);
        String failureDomain = Names.read(companion, "failure_domain", problems);
        Address http = companion.address("http");
        Address peer = companion.address("peer");
        companion.reportUnknownKeys();
        IniSection log = sectionOrEmpty(sections, LOG);
        Address logAddress = log.address("address");
        log.reportUnknownKeys();
        return new CompanionSettings(
                instance, failureDomain, http, peer, logAddress, limits(sections), translations(sections));
    }

    private Limits limits(Map<String, IniSection> sections) {
        IniSection section = sections.get(LIMITS);
        if (section == null) {
            return Limits.DEFAULT;
        }
        Limits defaults = Limits.DEFAULT;
        Limits limits = new Limits(
                (int) section.number("max_header_bytes", 1_024, MAX_HEADER_BYTES, defaults.maxHeaderBytes()),
                section.number("max_body_bytes", 0, MAX_BODY_BYTES, defaults.maxBodyBytes()),
                section.number("request_timeout_ms", 10, MAX_TIMEOUT_MS, defaults.requestTimeoutMs()),
                (int) section.number("max_callers", 1, MAX_CALLERS, defaults.maxCallers()),
                section.number("stop_timeout_ms", 1_000, MAX_TIMEOUT_MS, defaults.stopTimeoutMs()));
        section.reportUnknownKeys();
        return limits;
    }

    private List<Translation> translations(Map<String, IniSection> sections) {
        IniSection section = sections.get(PEERS);
        if (section == null) {
            return List.of();
        }
        List<Translation> translations = new ArrayList<>();
        for (IniSection.Line line : section.lines()) {
            // ini4j ends a key at the first ':' or '=', so the port of the announced address is part of the value.
            String[] sides = (line.key() + ":" + line.value()).split("=", 2);
            String from = sides[0].strip();
            if (sides.length < 2) {
                problems.add(PEERS, from, "is not a translation", "write 10.0.0.1:7001 = 10.0.0.2:9001");
                continue;
            }
            Address announced = section.address(from, from);
            if (translations.stream().anyMatch(t -> t.from().equals(announced))) {
                problems.add(PEERS, from, "is translated more than once", "keep one line");
            }
            translations.add(new Translation(announced, section.address(from, sides[1].strip())));
        }
        return translations;
    }

    private IniSection sectionOrEmpty(Map<String, IniSection> sections, String name) {
        return sections.computeIfAbsent(name, n -> new IniSection(n, Map.of(), problems));
    }
}
