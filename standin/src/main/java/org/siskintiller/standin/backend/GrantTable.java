package org.siskintiller.standin.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.Fence;

/** Grants in force. A slot's fence never falls, also after its grant was dropped. */
final class GrantTable {
    private final Map<Integer, Grant> grants = new HashMap<>();
    private final Map<Integer, Fence> highest = new HashMap<>();
    private final Map<String, Long> expiryMs = new HashMap<>();

    /** One slot of a PUT /grants. */
    record GrantedSlot(int slot, Fence fence) {}

    private record Grant(String companion, Fence fence) {}

    /** Applies a PUT /grants. The expiry covers all slots that the companion holds, also those of earlier calls. */
    synchronized void update(String companion, long expiresAtMs, List<GrantedSlot> slots, List<Integer> dropped) {
        // Expiries that are overtaken on the way were promised all the same, so the latest one holds.
        expiryMs.merge(companion, expiresAtMs, Math::max);
        for (GrantedSlot granted : slots) {
            Fence known = highest.get(granted.slot());
            if (known == null || granted.fence().compareTo(known) >= 0) {
                highest.put(granted.slot(), granted.fence());
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
