package org.siskintiller.core.path;

/**
 * Memory for the bodies of requests that a companion holds, from callers and from other companions, until their responses
 * are complete. A body is counted before it is read.
 *
 * <p>Load pattern: a wave of uploads whose backend servers are slow, so that their bodies stay in the queues of companions
 * with a heap of 64 MB.
 */
public final class RequestMemory {
    /** A body up to this size travels in one frame between companions, and may use all of the memory. */
    public static final int SMALL_BODY_BYTES = 4 * 1024;
    /** About a fifth of the heap of a companion: two bodies of the maximum size of 4 MiB beside small ones, or 200 of 60 KB. */
    public static final int DEFAULT_LIMIT_BYTES = 12 * 1024 * 1024;

    /** Larger bodies leave this share free for small ones, among which are the calls of running requests. */
    private static final double SMALL_SHARE = 0.125;

    private final long limitBytes;
    private final long largeLimitBytes;
    private long heldBytes;
    private long refusals;

    public RequestMemory(long limitBytes) {
        this.limitBytes = limitBytes;
        this.largeLimitBytes = Math.round(limitBytes * (1 - SMALL_SHARE));
    }

    /**
     * Reserves memory for bytes of a body.
     *
     * @param bodyBytes size of the body as far as it is known, these bytes included
     */
    public boolean tryReserve(int bytes, int bodyBytes) {
        long limit = bodyBytes > SMALL_BODY_BYTES ? largeLimitBytes : limitBytes;
        if (bytes > 0 && heldBytes + bytes > limit) {
            refusals++;
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    public void release(int bytes) {
        heldBytes -= bytes;
    }

    public long heldBytes() {
        return heldBytes;
    }

    /** Number of bodies that were refused. */
    public long refusals() {
        return refusals;
    }
}
