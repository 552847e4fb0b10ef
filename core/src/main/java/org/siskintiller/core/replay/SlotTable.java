package org.siskintiller.core.replay;

import java.util.Arrays;

import org.siskintiller.core.model.Assignment;

/** Immutable assignments of one service's slots. An update copies only the chunks that it changes. */
final class SlotTable {
    private static final int CHUNK_SLOTS = 128;

    private final int slotCount;
    private final Assignment[][] chunks;

    private SlotTable(int slotCount, Assignment[][] chunks) {
        this.slotCount = slotCount;
        this.chunks = chunks;
    }

    static SlotTable empty(int slotCount) {
        Assignment[] unassigned = new Assignment[CHUNK_SLOTS];
        Arrays.fill(unassigned, Assignment.NONE);
        Assignment[][] chunks = new Assignment[(slotCount + CHUNK_SLOTS - 1) / CHUNK_SLOTS][];
        Arrays.fill(chunks, unassigned);
        return new SlotTable(slotCount, chunks);
    }

    int slotCount() {
        return slotCount;
    }

    Assignment get(int slot) {
        return slot < slotCount ? chunks[slot / CHUNK_SLOTS][slot % CHUNK_SLOTS] : Assignment.NONE;
    }

    Editor edit() {
        return new Editor();
    }

    /** Applies the changes of one record to a new table. */
    final class Editor {
        private final Assignment[][] edited = chunks.clone();

        Assignment get(int slot) {
            return edited[slot / CHUNK_SLOTS][slot % CHUNK_SLOTS];
        }

        void set(int slot, Assignment assignment) {
            int chunk = slot / CHUNK_SLOTS;
            if (edited[chunk] == chunks[chunk]) {
                edited[chunk] = chunks[chunk].clone();
            }
            edited[chunk][slot % CHUNK_SLOTS] = assignment;
        }

        SlotTable build() {
            return new SlotTable(slotCount, edited);
        }
    }
}
