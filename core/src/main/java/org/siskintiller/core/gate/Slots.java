package org.siskintiller.core.gate;

import java.util.HashMap;
import java.util.Map;

import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.SlotId;

/** Slots that this companion may serve, with their fencing tokens. */
final class Slots {
    private final Map<SlotId, Fence> open = new HashMap<>();

    void open(SlotId slot, Fence fence) {
        open.put(slot, fence);
    }

    void close(SlotId slot) {
        open.remove(slot);
    }

    /** Returns the fence of an open slot, or null. */
    Fence fence(SlotId slot) {
        return slot == null ? null : open.get(slot);
    }

    /** Whether a request may run: its slot is open or null. */
    boolean serves(SlotId slot) {
        return slot == null || open.containsKey(slot);
    }

    int size() {
        return open.size();
    }
}
