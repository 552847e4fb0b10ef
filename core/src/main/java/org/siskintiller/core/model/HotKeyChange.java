package org.siskintiller.core.model;

import java.util.List;
import java.util.Objects;

/** Proposed change of the separate assignment of a hot key. An empty candidate list returns the key to its slot. */
public record HotKeyChange(String key, long baseVersion, List<Incarnation> candidates) {

    public HotKeyChange {
        Objects.requireNonNull(key, "key");
        candidates = List.copyOf(candidates);
    }
}
