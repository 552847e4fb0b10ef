package org.siskintiller.core.path;

/**
 * Credit for the body of one request: the receiver allows a window of bytes, and more as they arrive, so that bytes do not
 * queue in the network when the link is slower than stated or is shared with other traffic.
 */
public final class BodyCredit {
    /** At least two parts, so that one can be on its way while the next one is allowed. */
    private static final int MIN_WINDOW_BYTES = 2 * BodyTurns.PART_BYTES;
    /** Longest expected time from a credit to the arrival of its bytes: the round trip between zones and two event loops. */
    private static final double WINDOW_S = 0.01;

    private final int length;
    private int allowed;
    private int received;

    /** Creates the credit for a body, and allows the first window, which {@link #allowed} returns. */
    public BodyCredit(int length, double linkBytesPerSecond) {
        this.length = length;
        double window = Math.max(MIN_WINDOW_BYTES, linkBytesPerSecond * WINDOW_S);
        this.allowed = (int) Math.min(length, window);
    }

    public int allowed() {
        return allowed;
    }

    public boolean isComplete() {
        return received == length;
    }

    /**
     * Counts bytes that have arrived.
     *
     * @return bytes that are allowed in addition, or -1 if more have arrived than were allowed
     */
    public int received(int bytes) {
        if (bytes > allowed - received) {
            return -1;
        }
        received += bytes;
        int more = Math.min(bytes, length - allowed);
        allowed += more;
        return more;
    }
}
