package org.siskintiller.router.request;

import java.util.ArrayList;
import java.util.List;

/** Parts of the response to one request that have not been handed to its caller. */
final class ResponseBuffer {
    private final ResponseBuffers memory;
    private final List<byte[]> parts = new ArrayList<>();
    private int bytes;
    /** Memory reserved for the parts, and for those of an earlier response that is kept. */
    private int reservedBytes;

    ResponseBuffer(ResponseBuffers memory) {
        this.memory = memory;
    }

    /** Adds a part. Returns false if there is no memory to keep it. */
    boolean add(byte[] part) {
        if (part.length == 0) {
            return true;
        }
        int reserved = memory.tryReserve(part.length);
        reservedBytes += reserved;
        parts.add(part);
        bytes += part.length;
        return reserved > 0;
    }

    int bytes() {
        return bytes;
    }

    List<byte[]> parts() {
        return List.copyOf(parts);
    }

    /** Drops the parts. Their memory stays reserved until it is released. */
    void clear() {
        parts.clear();
        bytes = 0;
    }

    void release() {
        memory.release(reservedBytes);
        reservedBytes = 0;
    }
}
