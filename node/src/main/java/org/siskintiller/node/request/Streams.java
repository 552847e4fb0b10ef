package org.siskintiller.node.request;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/** Copies bodies in chunks and distinguishes a failed source from a failed target. */
public final class Streams {
    public static final int CHUNK_BYTES = 16 * 1024;

    private Streams() {}

    /** Writing to the target of the body failed. */
    public static final class TargetLostException extends IOException {

        public TargetLostException(IOException cause) {
            super(cause.getMessage(), cause);
        }
    }

    /** Copies until the end. An IOException other than TargetLostException comes from the source. */
    public static long copy(InputStream from, OutputStream to) throws IOException {
        byte[] chunk = new byte[CHUNK_BYTES];
        long bytesCopied = 0;
        while (true) {
            int count = from.read(chunk);
            if (count < 0) {
                return bytesCopied;
            }
            try {
                to.write(chunk, 0, count);
                if (from.available() == 0) {
                    to.flush();
                }
            } catch (IOException e) {
                throw new TargetLostException(e);
            }
            bytesCopied += count;
        }
    }
}
