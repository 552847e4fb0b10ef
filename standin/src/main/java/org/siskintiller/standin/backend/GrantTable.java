package org.siskintiller.standin.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.Fence;

/** Current grants. The fence of a slot never decreases, even after its grant was dropped. */
final class GrantTable {
    private final Map<Integer, Grant> grants = new HashMap<>();
    private final Map<Integer, Fence> highestFences = new HashMap<>();
    private final Map<String, Long> expiryMs = new HashMap<>();

    /** Slot of a PUT /grants. */
    record GrantedSlot(int slot, Fence fence) {}

    private record Grant(String companion, Fence fence) {}

    /** Applies a PUT /grants. The expiry applies to all slots of the companion, including those of earlier calls. */
    synchronized void update(String companion, long expiresAtMs, List<GrantedSlot> slots, List<Integer> dropped) {
        // Calls may arrive out of order, and each of their expiries was granted, so the latest expiry applies.
        expiryMs.merge(companion, expiresAtMs, Math::max);
        for (GrantedSlot granted : slots) {
            Fence highest = highestFences.get(granted.slot());
            if (highest == null || granted.fence().compareTo(highest) >= 0) {
                highestFences.put(granted.slot(), granted.fence());
                grants.put(granted.slot(), new Grant(companion, granted.fence()));
            }
        }
        for (int slot : dropped) {
            Grant grant = grants.get(slot);
            if (grant != null && grant.companion().equals(companion)) {
                grants.remove(slot);
            }
        }
    }

    synchronized boolean isLive(int slot, Fence fence, long clockMs) {
        Grant grant = grants.get(slot);
        return grant != null
                && grant.fence().equals(fence)
                && clockMs < expiryMs.getOrDefault(grant.companion(), Long.MIN_VALUE);
    }
}
