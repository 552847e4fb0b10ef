package org.siskintiller.core.placement;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage.KeyLoad;
import org.siskintiller.core.model.SlotId;

/**
 * Loads that the companions last reported, in requests per second.
 *
 * @param sessions load of each backend server by its companion's incarnation
 * @param slots load of each reported slot
 * @param hotKeys hottest keys with their rates
 */
public record LoadView(Map<Incarnation, Double> sessions, Map<SlotId, Double> slots, List<KeyLoad> hotKeys) {
    public static final LoadView EMPTY = new LoadView(Map.of(), Map.of(), List.of());

    public LoadView {
        // Sorted, since proposals must not depend on the order of Map.copyOf, which differs between runs.
        sessions = Collections.unmodifiableMap(new TreeMap<>(sessions));
        slots = Collections.unmodifiableMap(new TreeMap<>(slots));
        hotKeys = List.copyOf(hotKeys);
    }

    public double ofSession(Incarnation incarnation) {
        return sessions.getOrDefault(incarnation, 0.0);
    }

    public double ofSlot(SlotId slot) {
        return slots.getOrDefault(slot, 0.0);
    }
}
