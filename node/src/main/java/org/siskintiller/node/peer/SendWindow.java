package org.siskintiller.node.peer;

import java.io.IOException;

/** Credit of the sending side of a body. */
final class SendWindow {
    private long credit = PeerLimits.WINDOW_BYTES;
    private IOException failure;

    /** Waits for credit and takes at most the given number of bytes. */
    synchronized int take(int wanted) throws IOException {
        while (credit == 0 && failure == null) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted while waiting for credit", e);
            }
        }
        if (failure != null) {
            throw new IOException(failure.getMessage(), failure);
        }
        int taken = (int) Math.min(wanted, credit);
        credit -= taken;
        return taken;
    }

    /** Adds credit; false if the receiver returns more than it was sent. */
    synchronized boolean add(int returned) {
        if (returned <= 0 || credit + returned > PeerLimits.WINDOW_BYTES) {
            return false;
        }
        credit += returned;
        notifyAll();
        return true;
    }

    synchronized void fail(IOException cause) {
        if (failure == null) {
            failure = cause;
            notifyAll();
        }
    }
}
