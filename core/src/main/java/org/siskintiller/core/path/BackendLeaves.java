package org.siskintiller.core.path;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * Backend servers beside one instance that have left, each with the start time of its last run that did. It only grows, so
 * that copies from several sources can be merged in any order.
 *
 * @param lastRuns start time of the last run that has left, by the name of the backend server
 */
public record BackendLeaves(Map<String, Long> lastRuns) {
    public static final BackendLeaves NONE = new BackendLeaves(Map.of());
    /** Names that are kept, the latest runs first: messages of earlier backend servers arrive seconds late at most. */
    private static final int MAX_NAMES = 8;

    public BackendLeaves {
        Map<String, Long> kept = new HashMap<>(lastRuns);
        while (kept.size() > MAX_NAMES) {
            kept.values().remove(Collections.min(kept.values()));
        }
        lastRuns = Map.copyOf(kept);
    }

    /** Returns these leaves and the one of the given run. */
    public BackendLeaves with(String backend, long run) {
        return covers(backend, run) ? this : merge(new BackendLeaves(Map.of(backend, run)));
    }

    public BackendLeaves merge(BackendLeaves other) {
        Map<String, Long> merged = new HashMap<>(lastRuns);
        other.lastRuns.forEach((backend, run) -> merged.merge(backend, run, Math::max));
        return new BackendLeaves(merged);
    }

    /** Whether the given run has left. */
    public boolean covers(String backend, long run) {
        Long lastRun = lastRuns.get(backend);
        return lastRun != null && run <= lastRun;
    }

    public boolean isEmpty() {
        return lastRuns.isEmpty();
    }
}
