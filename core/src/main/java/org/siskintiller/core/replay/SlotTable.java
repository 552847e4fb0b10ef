package org.siskintiller.core.replay;

import java.util.Arrays;

import org.siskintiller.core.model.Assignment;

/** Immutable assignments of one service's slots. An update copies only the chunks that it touches. */
final class SlotTable {
    private static final int CHUNK = 128;

    private final int slots;
    private final Assignment[][] chunks;

    private SlotTable(int slots, Assignment[][] chunks) {
        this.slots = slots;
        this.chunks = chunks;
    }

    static SlotTable empty(int slots) {
        Assignment[] none = new Assignment[CHUNK];
        Arrays.fill(none, Assignment.NONE);
        Assignment[][] chunks = new Assignment[(slots + CHUNK - 1) / CHUNK][];
        Arrays.fill(chunks, none);
        return new SlotTable(slots, chunks);
    }

    int slots() {
        return slots;
    }

    Assignment get(int slot) {
        return slot < slots ? chunks[slot / CHUNK][slot % CHUNK] : Assignment.NONE;
    }

    Editor edit() {
        return new Editor();
    }

    /** Collects changes of one record into a new table. */
    final class Editor {
        private final Assignment[][] edited = chunks.clone();

        Assignment get(int slot) {
            return edited[slot / CHUNK][slot % CHUNK];
        }

        void set(int slot, Assignment assignment) {
            int chunk = slot / CHUNK;
            if (edited[chunk] == chunks[chunk]) {
                edited[chunk] = chunks[chunk].clone();
            }
            edited[chunk][slot % CHUNK] = assignment;
        }

        SlotTable build() {
            return new SlotTable(slots, edited);
        }
    }
}
