package org.siskintiller.node.peer;

import java.io.IOException;

/** Flow control window of the sending side of a body. */
final class SendWindow {
    private long creditBytes = PeerLimits.WINDOW_BYTES;
    private IOException failure;

    /** Waits for credit and acquires it for at most the given number of bytes. */
    synchronized int acquire(int maxBytes) throws IOException {
        while (creditBytes == 0 && failure == null) {
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
        int acquired = (int) Math.min(maxBytes, creditBytes);
        creditBytes -= acquired;
        return acquired;
    }

    /** Adds credit; returns false if the receiver returns more than it was sent. */
    synchronized boolean addCredit(int returnedBytes) {
        if (returnedBytes <= 0 || creditBytes + returnedBytes > PeerLimits.WINDOW_BYTES) {
            return false;
        }
        creditBytes += returnedBytes;
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
