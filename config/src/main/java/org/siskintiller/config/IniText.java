package org.siskintiller.config;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/** Splits an INI text into sections. Repeated sections and keys are reported, and the first occurrence is used. */
final class IniText {
    /** Section name that ini4j gives to keys before the first section. */
    private static final String GLOBAL_SECTION = "?";

    private IniText() {}

    /**
     * Splits a text.
     *
     * @param sectionWithRepeatedKeys name of the section in which a key may occur more than once, empty for none
     */
    static List<IniSection> split(String text, String sectionWithRepeatedKeys, IniProblems problems) {
        Ini ini = new Ini();
        ini.setConfig(iniConfig());
        try {
            ini.load(new StringReader(text));
        } catch (IOException e) {
            problems.add("", "", "cannot be read as INI: " + e.getMessage(), "write [section] and key = value lines");
            return List.of();
        }
        List<IniSection> sections = new ArrayList<>();
        for (String name : ini.keySet()) {
            if (name.equals(GLOBAL_SECTION)) {
                problems.add("", "", "has keys before the first section", "move them below a [section] line");
                continue;
            }
            if (ini.getAll(name).size() > 1) {
                problems.add(name, "", "occurs more than once", "merge the sections into one");
            }
            Profile.Section section = ini.getAll(name).get(0);
            sections.add(
                    new IniSection(name, values(section, name.equals(sectionWithRepeatedKeys), problems), problems));
        }
        return sections;
    }

    private static Map<String, List<String>> values(
            Profile.Section section, boolean mayRepeatKeys, IniProblems problems) {
        Map<String, List<String>> values = new LinkedHashMap<>();
        for (String key : section.keySet()) {
            List<String> all = new ArrayList<>();
            for (String value : section.getAll(key)) {
                all.add(value == null ? "" : value.strip());
            }
            if (all.size() > 1 && !mayRepeatKeys) {
                problems.add(section.getName(), key, "occurs more than once", "keep one line");
            }
            values.put(key, all);
        }
        return values;
    }

    private static Config iniConfig() {
        Config iniConfig = new Config();
        iniConfig.setEmptyOption(true);
        iniConfig.setEmptySection(true);
        iniConfig.setEscape(false);
        iniConfig.setEscapeNewline(false);
        iniConfig.setGlobalSection(true);
        iniConfig.setGlobalSectionName(GLOBAL_SECTION);
        iniConfig.setInclude(false);
        iniConfig.setMultiOption(true);
        iniConfig.setMultiSection(true);
        iniConfig.setTree(false);
        return iniConfig;
    }
}
