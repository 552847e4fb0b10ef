package org.siskintiller.node.peer;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntConsumer;

import com.google.protobuf.ByteString;

/** Receiving side of a body. The network thread adds chunks, a worker reads them and so returns credit. */
final class BodyPipe extends InputStream {
    private final Deque<ByteString> chunks = new ArrayDeque<>();
    private final IntConsumer returnCredit;
    private int position;
    private int buffered;
    private int unreturned;
    private boolean complete;
    private IOException failure;

    BodyPipe(IntConsumer returnCredit) {
        this.returnCredit = returnCredit;
    }

    /** Adds a chunk; false if the sender exceeds its window or sends after the end. */
    synchronized boolean add(ByteString content, boolean last) {
        if (complete || buffered + unreturned + content.size() > PeerLimits.WINDOW_BYTES) {
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
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
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
                await();
            }
            if (failure != null) {
                throw new IOException(failure.getMessage(), failure);
            }
            if (chunks.isEmpty()) {
                return -1;
            }
            count = take(target, offset, length);
            unreturned += count;
            if (unreturned >= PeerLimits.WINDOW_BYTES / 4 && !complete) {
                credit = unreturned;
                unreturned = 0;
            }
        }
        if (credit > 0) {
            returnCredit.accept(credit);
        }
        return count;
    }

    private int take(byte[] target, int offset, int length) {
        ByteString chunk = chunks.peek();
        int count = Math.min(length, chunk.size() - position);
        chunk.copyTo(target, position, offset, count);
        position += count;
        buffered -= count;
        if (position == chunk.size()) {
            chunks.remove();
            position = 0;
        }
        return count;
    }

    @Override
    public synchronized int available() {
        return buffered;
    }

    private void await() throws IOException {
        try {
            wait();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a body", e);
        }
    }
}
