package org.siskintiller.config;

import java.util.regex.Pattern;

/** Rule for the names of services, ranks, customers, presets, instances and failure domains. */
final class Names {
    /** Names appear in paths, headers and section names, so blanks, slashes and control characters are not allowed. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    private static final String REMEDY =
            "use 1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit";

    private Names() {}

    static String read(IniSection section, String key, IniProblems problems) {
        String name = section.text(key);
        if (!name.isEmpty()) {
            check(section.name(), key, name, problems);
        }
        return name;
    }

    static void check(String section, String key, String name, IniProblems problems) {
        if (!NAME.matcher(name).matches()) {
            problems.add(section, key, "'" + name + "' is not a name", REMEDY);
        }
    }
}
