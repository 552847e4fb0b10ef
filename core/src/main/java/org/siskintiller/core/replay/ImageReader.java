package org.siskintiller.core.replay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.StateImage.SlotAssignment;

/** Restores slot tables from a snapshot. */
final class ImageReader {
    private final ClusterState.Builder builder;

    ImageReader(ClusterState.Builder builder) {
        this.builder = builder;
    }

    /** Restores the slots. A service that was removed from the configuration keeps a table of its assigned slots. */
    void readSlots(List<SlotAssignment> assignments) {
        Map<String, Integer> sizes = new HashMap<>();
        for (SlotAssignment each : assignments) {
            sizes.merge(each.slot().service(), each.slot().slot() + 1, Math::max);
        }
        Map<String, SlotTable.Editor> editors = new HashMap<>();
        for (SlotAssignment each : assignments) {
            String service = each.slot().service();
            SlotTable.Editor editor = editors.computeIfAbsent(
                    service, name -> tableOf(name, sizes.get(name)).edit());
            editor.set(each.slot().slot(), each.assignment());
        }
        editors.forEach((service, editor) -> builder.slots = builder.slots.with(service, editor.build()));
    }

    private SlotTable tableOf(String service, int size) {
        SlotTable known = builder.slots.get(service);
        return known == null ? SlotTable.empty(size) : known;
    }
}
