package org.siskintiller.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.siskintiller.core.model.ClusterConfig;

/** Compares two published configurations value by value. */
public final class ClusterConfigDiff {

    private ClusterConfigDiff() {}

    /** Returns the changed values in the order of the newer configuration, then the removed ones. */
    public static List<Change> between(ClusterConfig from, ClusterConfig to) {
        Map<Setting, String> before = values(from);
        Map<Setting, String> after = values(to);
        List<Change> changes = new ArrayList<>();
        after.forEach((setting, value) -> {
            String previous = before.getOrDefault(setting, "");
            if (!value.equals(previous)) {
                changes.add(new Change(setting.section(), setting.key(), previous, value));
            }
        });
        before.forEach((setting, value) -> {
            if (!after.containsKey(setting)) {
                changes.add(new Change(setting.section(), setting.key(), value, ""));
            }
        });
        return changes;
    }

    private static Map<Setting, String> values(ClusterConfig config) {
        Map<Setting, String> values = new LinkedHashMap<>();
        IniProblems ignored = new IniProblems("");
        for (IniSection section : IniText.split(ClusterConfigWriter.write(config), "", ignored)) {
            for (IniSection.Line line : section.lines()) {
                values.put(new Setting(section.name(), line.key()), line.value());
            }
        }
        return values;
    }

    /**
     * Setting whose value differs.
     *
     * @param from earlier value, empty when the key is new
     * @param to later value, empty when the key was removed
     */
    public record Change(String section, String key, String from, String to) {
        public Change {
            Objects.requireNonNull(section, "section");
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(from, "from");
            Objects.requireNonNull(to, "to");
        }

        @Override
        public String toString() {
            return "[" + section + "] " + key + ": " + (from.isEmpty() ? "(none)" : from) + " -> "
                    + (to.isEmpty() ? "(removed)" : to);
        }
    }

    private record Setting(String section, String key) {}
}
