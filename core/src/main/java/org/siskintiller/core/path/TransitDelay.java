package org.siskintiller.core.path;

/**
 * Time that a message has waited on its way, beyond the shortest one of recent messages on the same connection.
 *
 * <p>Load pattern: the link of a machine is full, so that what it sends waits for seconds in its own socket and on the link.
 * The clocks of two machines have no common zero, so only the difference to the fastest message counts. A delay that has
 * lasted for the whole window is therefore no longer noticed.
 */
public final class TransitDelay {
    /** Time in which the fastest message counts. A sender that was suspended shifts its clock, which has an effect for as long. */
    private static final long WINDOW_NS = 5_000_000_000L;

    private static final long NS_PER_MS = 1_000_000;

    private boolean hasOffset;
    private int offset;
    private int nextOffset;
    private long windowStartNs;

    /**
     * Returns the delay of a message in milliseconds.
     *
     * @param sentMs clock of the sender when it wrote the message
     * @param receivedNs clock of the receiver
     */
    public long delayMs(int sentMs, long receivedNs) {
        // The clocks may wrap around, which their difference does not notice.
        int current = (int) (receivedNs / NS_PER_MS) - sentMs;
        if (!hasOffset) {
            hasOffset = true;
            offset = current;
            nextOffset = current;
            windowStartNs = receivedNs;
        }
        if (receivedNs - windowStartNs >= WINDOW_NS) {
            offset = nextOffset;
            nextOffset = current;
            windowStartNs = receivedNs;
        }
        nextOffset = earlier(nextOffset, current);
        offset = earlier(offset, current);
        return current - offset;
    }

    private static int earlier(int a, int b) {
        return a - b <= 0 ? a : b;
    }
}
