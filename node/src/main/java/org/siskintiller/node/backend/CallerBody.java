package org.siskintiller.node.backend;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Body of a caller that remembers whether the caller's side broke. */
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
            throw failed(e);
        }
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        try {
            return super.read(target, offset, length);
        } catch (IOException e) {
            throw failed(e);
        }
    }

    private IOException failed(IOException cause) {
        failed = true;
        onFailure.run();
        return cause;
    }

    boolean failed() {
        return failed;
    }
}
