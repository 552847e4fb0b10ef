package org.siskintiller.node.backend;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Request body that records a read failure on the caller's side. */
public final class CallerBody extends FilterInputStream {
    private final Runnable onFailure;
    private volatile boolean failed;

    public CallerBody(InputStream in, Runnable onFailure) {
        super(in);
        this.onFailure = onFailure;
    }

    @Override
    public int read() throws IOException {
        try {
            return super.read();
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        try {
            return super.read(target, offset, length);
        } catch (IOException e) {
            throw recordFailure(e);
        }
    }

    private IOException recordFailure(IOException cause) {
        failed = true;
        onFailure.run();
        return cause;
    }

    boolean failed() {
        return failed;
    }
}
