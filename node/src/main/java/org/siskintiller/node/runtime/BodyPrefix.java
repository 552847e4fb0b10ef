package org.siskintiller.node.runtime;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import net.openhft.hashing.LongHashFunction;
import org.siskintiller.node.request.RequestHead;

/** First bytes of a request body. They identify the request, and allow a retry if they are the complete body. */
final class BodyPrefix {
    private static final int MAX_BYTES = 4096;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    static final BodyPrefix EMPTY = new BodyPrefix(new byte[0], true, InputStream.nullInputStream());

    private final byte[] bytes;
    private final boolean complete;
    private final InputStream rest;

    private BodyPrefix(byte[] bytes, boolean complete, InputStream rest) {
        this.bytes = bytes;
        this.complete = complete;
        this.rest = rest;
    }

    static BodyPrefix read(RequestHead head, InputStream body) throws IOException {
        if (!head.hasBody()) {
            return EMPTY;
        }
        byte[] bytes = body.readNBytes(MAX_BYTES + 1);
        return new BodyPrefix(bytes, bytes.length <= MAX_BYTES, body);
    }

    /** Returns whether the body is short enough to be sent more than once. */
    boolean isRetryable() {
        return complete;
    }

    /** Returns the complete body. Must be called only once unless the body is retryable. */
    InputStream body() {
        InputStream prefix = new ByteArrayInputStream(bytes);
        return complete ? prefix : new SequenceInputStream(prefix, rest);
    }

    /** Returns a digest of service, method, path, key and the first 4 KB of the body, equal for retries of a request. */
    long digest(RequestHead head) {
        StringBuilder text = new StringBuilder();
        for (String part : Arrays.asList(head.service(), head.method(), head.path(), head.key())) {
            text.append(part == null ? -1 : part.length()).append(':').append(part);
        }
        byte[] body = Arrays.copyOf(bytes, Math.min(bytes.length, MAX_BYTES));
        long[] hashes = {HASH.hashBytes(text.toString().getBytes(StandardCharsets.UTF_8)), HASH.hashBytes(body)};
        return HASH.hashLongs(hashes);
    }
}
