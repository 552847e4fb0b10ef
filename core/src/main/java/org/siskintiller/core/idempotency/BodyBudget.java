package org.siskintiller.core.idempotency;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.RequestRecord;

/**
 * Limits the total size of response bodies in one message between companions. Records that exceed the rest of the
 * budget are sent without their body.
 */
public final class BodyBudget {
    /** A quarter of the largest frame, so that the records themselves have room. */
    public static final long MAX_MESSAGE_BODY_BYTES = 4L << 20;

    /** Type of a response whose body was not kept, since an empty body without a type would look complete. */
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    private long remainingBytes;

    public BodyBudget(long bytes) {
        this.remainingBytes = bytes;
    }

    /** Returns the records, some without their body. */
    List<RequestRecord> apply(List<RequestRecord> records) {
        List<RequestRecord> bounded = new ArrayList<>(records.size());
        for (RequestRecord record : records) {
            boolean fits = record.body().size() <= remainingBytes;
            remainingBytes -= fits ? record.body().size() : 0;
            bounded.add(fits ? record : withoutBody(record));
        }
        return bounded;
    }

    static RequestRecord withoutBody(RequestRecord record) {
        return new RequestRecord(
                record.slot(),
                record.idempotencyKey(),
                record.digest(),
                record.state(),
                record.status(),
                record.contentType().isEmpty() ? DEFAULT_CONTENT_TYPE : record.contentType(),
                Bytes.EMPTY,
                record.recordedAtMs());
    }
}
