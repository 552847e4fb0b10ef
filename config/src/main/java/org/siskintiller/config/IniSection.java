package org.siskintiller.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.model.Address;

/**
 * Typed reader of one section. A missing or invalid value is reported and replaced by a value in range, so that
 * reading continues and all problems are reported together.
 */
final class IniSection {
    private final String name;
    private final Map<String, List<String>> values;
    private final IniProblems problems;
    private final Set<String> knownKeys = new HashSet<>();

    IniSection(String name, Map<String, List<String>> values, IniProblems problems) {
        this.name = name;
        this.values = values;
        this.problems = problems;
    }

    String name() {
        return name;
    }

    /** Words of the section name: the kind of section, then its arguments. */
    List<String> words() {
        return List.of(name.strip().split("\\s+"));
    }

    String text(String key) {
        return read(key).orElseGet(() -> reportMissing(key));
    }

    boolean bool(String key) {
        Optional<String> value = read(key);
        if (value.isEmpty()) {
            reportMissing(key);
            return false;
        }
        if (!value.get().equals("true") && !value.get().equals("false")) {
            problems.add(name, key, "'" + value.get() + "' is neither true nor false", "write true or false");
        }
        return value.get().equals("true");
    }

    /** Required whole number. */
    long number(String key, long min, long max) {
        if (read(key).isEmpty()) {
            reportMissing(key);
            return min;
        }
        return number(key, min, max, min);
    }

    /** Whole number with a default. */
    long number(String key, long min, long max, long defaultValue) {
        Optional<String> value = read(key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(value.get());
            if (number >= min && number <= max) {
                return number;
            }
            problems.add(name, key, number + " is out of range", "use " + min + " to " + max);
        } catch (NumberFormatException e) {
            problems.add(name, key, "'" + value.get() + "' is not a whole number", "use " + min + " to " + max);
        }
        return defaultValue;
    }

    /** Decimal number with a default. */
    double decimal(String key, double min, double max, double defaultValue) {
        Optional<String> value = read(key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value.get());
            if (number >= min && number <= max) {
                return number;
            }
            problems.add(name, key, value.get() + " is out of range", "use " + min + " to " + max);
        } catch (NumberFormatException e) {
            problems.add(name, key, "'" + value.get() + "' is not a number", "use " + min + " to " + max);
        }
        return defaultValue;
    }

    /** Required IP address and port. */
    Address address(String key) {
        Optional<String> value = read(key);
        if (value.isEmpty()) {
            reportMissing(key);
            return AddressText.PLACEHOLDER;
        }
        return address(key, value.get());
    }

    /** Parses an address that is part of a line of this section. */
    Address address(String key, String text) {
        Optional<Address> address = AddressText.parse(text);
        if (address.isEmpty()) {
            problems.add(name, key, "'" + text + "' is not an IP number and port", "write for example 10.0.0.1:7000");
        }
        return address.orElse(AddressText.PLACEHOLDER);
    }

    /** All lines of a section in which any key is allowed. */
    List<Line> lines() {
        List<Line> lines = new ArrayList<>();
        for (Map.Entry<String, List<String>> entry : values.entrySet()) {
            knownKeys.add(entry.getKey());
            for (String value : entry.getValue()) {
                lines.add(new Line(entry.getKey(), value));
            }
        }
        return lines;
    }

    /** Reports each key that was not read; to be called after all known keys were read. */
    void reportUnknownKeys() {
        for (String key : values.keySet()) {
            if (!knownKeys.contains(key)) {
                problems.add(name, key, "is not a known key", "remove it or use one of " + sorted(knownKeys));
            }
        }
    }

    private static String sorted(Set<String> keys) {
        return String.join(", ", keys.stream().sorted().toList());
    }

    private Optional<String> read(String key) {
        knownKeys.add(key);
        List<String> all = values.get(key);
        return all == null || all.get(0).isEmpty() ? Optional.empty() : Optional.of(all.get(0));
    }

    private String reportMissing(String key) {
        problems.add(name, key, "has no value", "add a line " + key + " = ...");
        return "";
    }

    /** Key and value as written in the text. */
    record Line(String key, String value) {}
}
