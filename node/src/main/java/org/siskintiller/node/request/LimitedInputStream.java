package org.siskintiller.node.request;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Body that fails beyond a limit or when it ends before its announced length. */
public final class LimitedInputStream extends FilterInputStream {
    private final long limit;
    private final long expected;
    private long total;

    /**
     * Limits a body.
     *
     * @param expected announced length in bytes, -1 when it is unknown
     */
    public LimitedInputStream(InputStream in, long limit, long expected) {
        super(in);
        this.limit = limit;
        this.expected = expected;
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        int count = read(one, 0, 1);
        return count < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        int count = super.read(target, offset, length);
        if (count < 0) {
            if (expected >= 0 && total != expected) {
                throw new IOException("body ended after " + total + " of " + expected + " bytes");
            }
            return count;
        }
        total += count;
        if (total > limit) {
            throw new IOException("body exceeds " + limit + " bytes");
        }
        return count;
    }

    @Override
    public long skip(long count) {
        return 0;
    }

    @Override
    public boolean markSupported() {
        return false;
    }
}
