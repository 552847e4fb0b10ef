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

    /** Restores the slots. A service removed from the configuration gets a table up to its last assigned slot. */
    void readSlots(List<SlotAssignment> assignments) {
        Map<String, Integer> minimumSizes = new HashMap<>();
        for (SlotAssignment entry : assignments) {
            minimumSizes.merge(entry.slot().service(), entry.slot().slot() + 1, Math::max);
        }
        Map<String, SlotTable.Editor> editors = new HashMap<>();
        for (SlotAssignment entry : assignments) {
            String service = entry.slot().service();
            SlotTable.Editor editor = editors.computeIfAbsent(
                    service, name -> tableOf(name, minimumSizes.get(name)).edit());
            editor.set(entry.slot().slot(), entry.assignment());
        }
        editors.forEach((service, editor) -> builder.slots = builder.slots.with(service, editor.build()));
    }

    private SlotTable tableOf(String service, int size) {
        SlotTable existing = builder.slots.get(service);
        return existing == null ? SlotTable.empty(size) : existing;
    }
}
