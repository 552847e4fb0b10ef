package org.siskintiller.node.runtime;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import net.openhft.hashing.LongHashFunction;
import org.siskintiller.node.request.RequestHead;

/** First bytes of a body, which identify a request and let a short one be sent again. */
final class BodyPrefix {
    private static final int MAX_BYTES = 4096;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    /** Prefix of a request without a body. */
    static final BodyPrefix EMPTY = new BodyPrefix(new byte[0], true, InputStream.nullInputStream());

    private final byte[] bytes;
    private final boolean whole;
    private final InputStream rest;

    private BodyPrefix(byte[] bytes, boolean whole, InputStream rest) {
        this.bytes = bytes;
        this.whole = whole;
        this.rest = rest;
    }

    static BodyPrefix read(RequestHead head, InputStream body) throws IOException {
        if (!head.hasBody()) {
            return EMPTY;
        }
        byte[] bytes = body.readNBytes(MAX_BYTES + 1);
        return new BodyPrefix(bytes, bytes.length <= MAX_BYTES, body);
    }

    /** Whether the body is short enough to be sent more than once. */
    boolean isRetryable() {
        return whole;
    }

    /** Returns the whole body. Call it once only unless the body is repeatable. */
    InputStream body() {
        InputStream prefix = new ByteArrayInputStream(bytes);
        return whole ? prefix : new SequenceInputStream(prefix, rest);
    }

    /** Digest of service, method, path, key and the first 4 KB of the body. Equal for resends of a request. */
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
