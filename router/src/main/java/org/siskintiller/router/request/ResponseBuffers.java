package org.siskintiller.router.request;

/**
 * Memory for the responses that are buffered until they are complete, so that their requests can be retried.
 *
 * <p>Load pattern: a faulty backend server sends bodies without end to many callers of one machine.
 */
final class ResponseBuffers {
    /** A quarter of the heap of a companion. */
    private static final int MAX_BYTES = 16 * 1024 * 1024;
    /** Memory that a part takes besides its bytes. */
    private static final int PART_BYTES = 64;

    private int reservedBytes;

    /** Returns the memory reserved for a part of a response, or 0 if there is not enough. */
    int tryReserve(int partBytes) {
        int bytes = PART_BYTES + partBytes;
        if (bytes > MAX_BYTES - reservedBytes) {
            return 0;
        }
        reservedBytes += bytes;
        return bytes;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
