package org.siskintiller.router.request;

/**
 * Memory for the responses that are held until they are complete, so that their requests can be retried.
 *
 * <p>Load pattern: a faulty backend server sends bodies without end to many callers of one machine.
 */
final class HeldResponses {
    /** A quarter of the heap of a companion. */
    private static final int MAX_BYTES = 16 * 1024 * 1024;
    /** Memory that a part takes besides its bytes. */
    private static final int PART_BYTES = 64;

    private int heldBytes;

    /** Returns the memory taken for a part of a response, or 0 if there is not enough. */
    int tryHold(int partBytes) {
        int bytes = PART_BYTES + partBytes;
        if (bytes > MAX_BYTES - heldBytes) {
            return 0;
        }
        heldBytes += bytes;
        return bytes;
    }

    void release(int bytes) {
        heldBytes -= bytes;
    }
}
