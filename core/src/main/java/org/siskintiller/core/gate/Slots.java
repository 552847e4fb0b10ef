package org.siskintiller.core.gate;

import java.util.HashMap;
import java.util.Map;

import org.siskintiller.core.control.ControlAction.OpenSlot;
import org.siskintiller.core.model.Fence;
import org.siskintiller.core.model.SlotId;
import org.siskintiller.core.model.SlotVersion;

/** Slots that this companion may serve, with their fencing tokens. */
final class Slots {
    private final Map<SlotId, Fence> open = new HashMap<>();

    void open(GateEvent.SlotsOpened event) {
        for (OpenSlot slot : event.slots()) {
            open.put(new SlotId(event.service(), slot.slot()), slot.fence());
        }
    }

    void close(GateEvent.SlotsClosing event) {
        for (SlotVersion slot : event.slots()) {
            open.remove(new SlotId(event.service(), slot.slot()));
        }
    }

    /** Returns the fence of an open slot, or null. */
    Fence fence(SlotId slot) {
        return open.get(slot);
    }

    int size() {
        return open.size();
    }
}
