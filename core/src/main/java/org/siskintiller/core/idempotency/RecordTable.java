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
 * Records of non-idempotent requests: those of this companion's slots and copies for other owners. All states of one
 * attempt have the same recordedAtMs, and a later attempt has a higher one, so that records may arrive late, more than
 * once and out of order.
 */
final class RecordTable {
    /** At this number of records new requests are refused, since no record may be dropped before it expires. */
    static final int MAX_RECORDS = 400_000;
    /** Total size of stored response bodies. The oldest bodies are dropped first; their records stay. */
    static final long MAX_BODY_BYTES = 32L << 20;

    private static final long EXPIRY_BUCKET_MS = 1_000;

    private final Map<SlotId, Map<String, RequestRecord>> slots = new HashMap<>();
    private final TreeMap<Long, List<RecordKey>> keysByExpiryBucket = new TreeMap<>();
    private final Deque<RecordKey> keysWithBody = new ArrayDeque<>();
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

    /** Stores the record unless the table has a later attempt or state. Returns whether it was stored. */
    boolean merge(RequestRecord record) {
        RecordKey key = RecordKey.of(record);
        RequestRecord existing = get(key);
        if (existing != null && !supersedes(record, existing)) {
            return false;
        }
        slots.computeIfAbsent(key.slot(), slot -> new HashMap<>()).put(key.idempotencyKey(), record);
        if (existing == null) {
            size++;
            keysByExpiryBucket
                    .computeIfAbsent(expiryBucket(record), bucket -> new ArrayList<>())
                    .add(key);
        } else {
            bodyBytes -= existing.body().size();
        }
        if (record.body().size() > 0) {
            bodyBytes += record.body().size();
            keysWithBody.add(key);
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

    boolean isFull() {
        return size >= MAX_RECORDS;
    }

    /** Drops records whose keys every companion refuses as too old. */
    void expire(long wallMs) {
        while (!keysByExpiryBucket.isEmpty() && keysByExpiryBucket.firstKey() * EXPIRY_BUCKET_MS <= wallMs) {
            for (RecordKey key : keysByExpiryBucket.pollFirstEntry().getValue()) {
                drop(key);
            }
        }
        while (!keysWithBody.isEmpty() && !hasBody(keysWithBody.peek())) {
            keysWithBody.poll();
        }
    }

    private static boolean supersedes(RequestRecord record, RequestRecord existing) {
        if (record.recordedAtMs() != existing.recordedAtMs()) {
            return record.recordedAtMs() > existing.recordedAtMs();
        }
        return finality(record.state()) > finality(existing.state());
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
        return window.expiryMs(timestampMs) / EXPIRY_BUCKET_MS + 1;
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
        while (bodyBytes > MAX_BODY_BYTES && !keysWithBody.isEmpty()) {
            RecordKey key = keysWithBody.poll();
            if (hasBody(key)) {
                RequestRecord record = get(key);
                bodyBytes -= record.body().size();
                slots.get(key.slot()).put(key.idempotencyKey(), BodyBudget.withoutBody(record));
            }
        }
    }
}
