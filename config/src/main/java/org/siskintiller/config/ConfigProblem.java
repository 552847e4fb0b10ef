package org.siskintiller.config;

import java.util.Objects;

/**
 * Error in an INI text.
 *
 * @param section section name without brackets, empty when the problem concerns the whole file
 * @param key key, empty when the problem concerns the whole section
 * @param remedy instruction that says what to change
 */
public record ConfigProblem(String file, String section, String key, String problem, String remedy) {

    public ConfigProblem {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(problem, "problem");
        Objects.requireNonNull(remedy, "remedy");
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(file);
        if (!section.isEmpty()) {
            text.append(" [").append(section).append(']');
        }
        if (!key.isEmpty()) {
            text.append(' ').append(key);
        }
        return text.append(": ").append(problem).append("; ").append(remedy).toString();
    }
}
