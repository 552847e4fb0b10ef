package org.siskintiller.core.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.RequestRecord.RequestState;
import org.siskintiller.core.model.SlotId;

/**
 * Records of non-idempotent requests, own ones and copies for other owners. All states of one attempt have the same
 * recordedAtMs, and a later attempt has a higher one, so that records may arrive late, doubled and out of order.
 */
final class RecordTable {
    /** Largest number of records. Above it new requests are refused, since no record may be dropped early. */
    static final int MAX_RECORDS = 400_000;
    /** Largest total size of stored answers. The oldest ones are dropped first and replay without their body. */
    static final long MAX_BODY_BYTES = 32L << 20;

    private static final long BUCKET_MS = 1_000;

    private final Map<SlotId, Map<String, RequestRecord>> slots = new HashMap<>();
    private final TreeMap<Long, List<RecordKey>> expiries = new TreeMap<>();
    private final Deque<RecordKey> bodies = new ArrayDeque<>();
    private KeyWindow window = KeyWindow.DEFAULT;
    private long bodyBytes;
    private int size;

    void setWindow(KeyWindow newWindow) {
        window = newWindow;
    }

    RequestRecord get(RecordKey key) {
        Map<String, RequestRecord> records = slots.get(key.slot());
        return records == null ? null : records.get(key.idempotencyKey());
    }

    /** Stores the record unless a later attempt or state is known. Returns whether it was stored. */
    boolean merge(RequestRecord record) {
        RecordKey key = RecordKey.of(record);
        RequestRecord known = get(key);
        if (known != null && !supersedes(record, known)) {
            return false;
        }
        slots.computeIfAbsent(key.slot(), slot -> new HashMap<>()).put(key.idempotencyKey(), record);
        if (known == null) {
            size++;
            expiries.computeIfAbsent(expiryBucket(record), bucket -> new ArrayList<>())
                    .add(key);
        } else {
            bodyBytes -= known.body().size();
        }
        if (record.body().size() > 0) {
            bodyBytes += record.body().size();
            bodies.add(key);
            dropOldBodies();
        }
        return true;
    }

    List<RequestRecord> ofSlot(SlotId slot) {
        Map<String, RequestRecord> records = slots.get(slot);
        return records == null ? List.of() : List.copyOf(records.values());
    }

    int size() {
        return size;
    }

    boolean full() {
        return size >= MAX_RECORDS;
    }

    /** Drops records whose keys every companion refuses by their age. */
    void expire(long wallMs) {
        while (!expiries.isEmpty() && expiries.firstKey() * BUCKET_MS <= wallMs) {
            for (RecordKey key : expiries.pollFirstEntry().getValue()) {
                drop(key);
            }
        }
        while (!bodies.isEmpty() && !hasBody(bodies.peek())) {
            bodies.poll();
        }
    }

    private static boolean supersedes(RequestRecord record, RequestRecord known) {
        if (record.recordedAtMs() != known.recordedAtMs()) {
            return record.recordedAtMs() > known.recordedAtMs();
        }
        return finality(record.state()) > finality(known.state());
    }

    private static int finality(RequestState state) {
        switch (state) {
            case STARTED:
                return 0;
            case UNKNOWN:
                return 1;
            default:
                return 2;
        }
    }

    private long expiryBucket(RequestRecord record) {
        long timestampMs = IdempotencyKey.parse(record.idempotencyKey())
                .map(IdempotencyKey::timestampMs)
                .orElse(record.recordedAtMs());
        return window.expiryMs(timestampMs) / BUCKET_MS + 1;
    }

    private void drop(RecordKey key) {
        Map<String, RequestRecord> records = slots.get(key.slot());
        RequestRecord record = records.remove(key.idempotencyKey());
        bodyBytes -= record.body().size();
        size--;
        if (records.isEmpty()) {
            slots.remove(key.slot());
        }
    }

    private boolean hasBody(RecordKey key) {
        RequestRecord record = get(key);
        return record != null && record.body().size() > 0;
    }

    private void dropOldBodies() {
        while (bodyBytes > MAX_BODY_BYTES && !bodies.isEmpty()) {
            RecordKey key = bodies.poll();
            if (hasBody(key)) {
                RequestRecord record = get(key);
                bodyBytes -= record.body().size();
                slots.get(key.slot()).put(key.idempotencyKey(), BodyBudget.withoutBody(record));
            }
        }
    }
}
