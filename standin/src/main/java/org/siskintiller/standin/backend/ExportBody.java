package org.siskintiller.standin.backend;

import java.io.IOException;
import java.io.OutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.SplittableRandom;

/** Large body with content derived from its size. It is generated in chunks, once for the digest and once to send. */
final class ExportBody {
    private static final int CHUNK_BYTES = 16 * 1024;

    private final long bytes;

    ExportBody(long bytes) {
        this.bytes = bytes;
    }

    /** Returns the value of the Repr-Digest header. */
    String reprDigest() throws IOException, InterruptedException {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            forEachChunk(bytes, digest::update);
            return "sha-256=:" + Base64.getEncoder().encodeToString(digest.digest()) + ":";
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Writes the first bytes of the body. Blocks between two chunks while the server is frozen. */
    void write(OutputStream out, long length, FreezeGate freezeGate) throws IOException, InterruptedException {
        forEachChunk(length, (chunk, offset, count) -> {
            freezeGate.await();
            out.write(chunk, offset, count);
        });
    }

    private void forEachChunk(long length, ChunkConsumer consumer) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(bytes);
        byte[] chunk = new byte[CHUNK_BYTES];
        long remaining = length;
        while (remaining > 0) {
            random.nextBytes(chunk);
            int count = (int) Math.min(remaining, CHUNK_BYTES);
            consumer.accept(chunk, 0, count);
            remaining -= count;
        }
    }

    /** Consumes a chunk of the body. */
    private interface ChunkConsumer {
        void accept(byte[] chunk, int offset, int count) throws IOException, InterruptedException;
    }
}
