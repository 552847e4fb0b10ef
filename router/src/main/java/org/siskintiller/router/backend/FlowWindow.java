package org.siskintiller.router.backend;

import java.util.ArrayDeque;
import java.util.Deque;

import org.siskintiller.router.request.Destination;

/**
 * Parts of a response that were read and have not been taken by the receiver yet. Their number is limited as well as their
 * bytes, because a part of one byte takes some hundred bytes of memory.
 */
final class FlowWindow {
    private static final int MAX_PARTS = 1_024;

    private final Deque<Integer> parts = new ArrayDeque<>();
    private int bytes;

    void read(int partBytes) {
        parts.addLast(partBytes);
        bytes += partBytes;
    }

    /** Counts bytes that the receiver has taken, in the order in which they were read. */
    void taken(int takenBytes) {
        int rest = takenBytes;
        bytes = Math.max(0, bytes - takenBytes);
        while (rest > 0 && !parts.isEmpty()) {
            int part = parts.pollFirst();
            if (part > rest) {
                parts.addFirst(part - rest);
            }
            rest -= part;
        }
    }

    boolean isFull() {
        return bytes >= Destination.WINDOW_BYTES || parts.size() >= MAX_PARTS;
    }

    void clear() {
        parts.clear();
        bytes = 0;
    }
}
