package org.siskintiller.node.peer;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntConsumer;

import com.google.protobuf.ByteString;

/** Receiving side of a body. A network thread adds chunks; reading them returns credit to the sender. */
final class BodyPipe extends InputStream {
    private final Deque<ByteString> chunks = new ArrayDeque<>();
    private final IntConsumer returnCredit;
    private int chunkPosition;
    private int buffered;
    private int unreturnedCredit;
    private boolean complete;
    private IOException failure;

    BodyPipe(IntConsumer returnCredit) {
        this.returnCredit = returnCredit;
    }

    /** Adds a chunk; returns false if the sender exceeds its window or sends after the last chunk. */
    synchronized boolean add(ByteString content, boolean last) {
        if (complete || buffered + unreturnedCredit + content.size() > PeerLimits.WINDOW_BYTES) {
            return false;
        }
        if (failure == null && !content.isEmpty()) {
            chunks.add(content);
            buffered += content.size();
        }
        complete = last;
        notifyAll();
        return true;
    }

    synchronized void fail(IOException cause) {
        if (failure == null) {
            failure = cause;
            chunks.clear();
            notifyAll();
        }
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        if (length == 0) {
            return 0;
        }
        int count;
        int credit = 0;
        synchronized (this) {
            while (chunks.isEmpty() && !complete && failure == null) {
                awaitChange();
            }
            if (failure != null) {
                throw new IOException(failure.getMessage(), failure);
            }
            if (chunks.isEmpty()) {
                return -1;
            }
            count = takeFromChunk(target, offset, length);
            unreturnedCredit += count;
            if (unreturnedCredit >= PeerLimits.WINDOW_BYTES / 4 && !complete) {
                credit = unreturnedCredit;
                unreturnedCredit = 0;
            }
        }
        if (credit > 0) {
            returnCredit.accept(credit);
        }
        return count;
    }

    private int takeFromChunk(byte[] target, int offset, int length) {
        ByteString chunk = chunks.peek();
        int count = Math.min(length, chunk.size() - chunkPosition);
        chunk.copyTo(target, chunkPosition, offset, count);
        chunkPosition += count;
        buffered -= count;
        if (chunkPosition == chunk.size()) {
            chunks.remove();
            chunkPosition = 0;
        }
        return count;
    }

    @Override
    public synchronized int available() {
        return buffered;
    }

    private void awaitChange() throws IOException {
        try {
            wait();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a body", e);
        }
    }
}
