package org.siskintiller.measure.random;

import java.util.Map;
import java.util.TreeMap;

/** Counts how often each fault, takeover, refusal and other event occurred in a run. */
final class RunCounters {
    private final Map<String, Long> counts = new TreeMap<>();

    void add(String event) {
        counts.merge(event, 1L, Long::sum);
    }

    void addAll(RunCounters other) {
        other.counts.forEach((event, count) -> counts.merge(event, count, Long::sum));
    }

    long get(String event) {
        return counts.getOrDefault(event, 0L);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        counts.forEach((event, count) -> text.append(String.format("%-28s %d%n", event, count)));
        return text.toString();
    }
}
