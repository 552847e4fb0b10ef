package org.siskintiller.node.request;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Body that fails if it exceeds a limit or ends before its announced length. */
public final class LimitedInputStream extends FilterInputStream {
    private final long maxBytes;
    private final long expectedLength;
    private long bytesRead;

    /**
     * Creates a limited view of a body.
     *
     * @param expectedLength announced length in bytes, -1 when it is unknown
     */
    public LimitedInputStream(InputStream in, long maxBytes, long expectedLength) {
        super(in);
        this.maxBytes = maxBytes;
        this.expectedLength = expectedLength;
    }

    @Override
    public int read() throws IOException {
        byte[] buffer = new byte[1];
        int count = read(buffer, 0, 1);
        return count < 0 ? -1 : buffer[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        int count = super.read(target, offset, length);
        if (count < 0) {
            if (expectedLength >= 0 && bytesRead != expectedLength) {
                throw new IOException("body ended after " + bytesRead + " of " + expectedLength + " bytes");
            }
            return count;
        }
        bytesRead += count;
        if (bytesRead > maxBytes) {
            throw new IOException("body exceeds " + maxBytes + " bytes");
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
