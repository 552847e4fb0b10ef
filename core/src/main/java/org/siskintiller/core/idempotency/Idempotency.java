package org.siskintiller.core.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.RequestRecord.RequestState;
import org.siskintiller.core.model.SlotId;

/** Records of non-idempotent requests, so that each runs at most once. */
public final class Idempotency {
    /** Largest stored answer. A larger one is replayed without its body. */
    public static final int MAX_STORED_BODY_BYTES = 16 << 10;

    private final String service;
    private final RecordSink sink;
    private final RecordTable table = new RecordTable();
    private final SecondPlace secondPlace;
    private final Map<SlotId, OpenRecords> open = new HashMap<>();
    private final Map<SlotId, Optional<Incarnation>> standbys = new HashMap<>();
    private final Map<SlotId, SlotMarker> markers = new HashMap<>();
    private final Set<RecordKey> active = new HashSet<>();
    private final Set<SlotId> reading = new HashSet<>();
    private final Set<SlotId> toRead = new HashSet<>();
    private boolean copying = true;
    private KeyWindow window = KeyWindow.DEFAULT;
    private long oldestAcceptedMs = Long.MIN_VALUE;

    public Idempotency(String service, RecordSink sink) {
        this.service = Objects.requireNonNull(service, "service");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.secondPlace = new SecondPlace(sink, this::recordsToCopy);
    }

    /** Applies a published window. Keys that the shorter window refused stay refused, as their records are gone. */
    public void configure(KeyWindow newWindow, long wallMs) {
        if (newWindow.windowMs() > window.windowMs()) {
            oldestAcceptedMs = Math.max(oldestAcceptedMs, wallMs - window.windowMs());
        }
        window = newWindow;
        table.setWindow(newWindow);
    }

    /**
     * Opens a slot or changes its standby.
     *
     * @param version version of the slot's assignment
     * @param recordsComplete whether every earlier owner has handed over its records; otherwise only a valid marker
     *     shows that this companion was a synchronised standby of the lost owner
     * @param readStream whether records may be in the requests stream
     */
    public void open(
            SlotId slot, long version, Incarnation standby, boolean recordsComplete, boolean readStream, long wallMs) {
        SlotMarker marker = markers.remove(slot);
        OpenRecords known = open.get(slot);
        long unknownBeforeMs;
        if (known != null) {
            unknownBeforeMs = known.unknownBeforeMs;
        } else if (recordsComplete || marker != null && marker.validAt(version)) {
            unknownBeforeMs = marker == null ? Long.MIN_VALUE : marker.unknownBeforeMs();
        } else {
            unknownBeforeMs = wallMs + window.skewMs();
        }
        open.put(slot, new OpenRecords(version, unknownBeforeMs));
        if (readStream && known == null) {
            toRead.add(slot);
            readStreamIfDue();
        }
        standbys.put(slot, standby == null ? Optional.empty() : Optional.of(standby));
        if (copying) {
            secondPlace.assign(slot, standby);
        }
    }

    /** Turns the copying of open slots on or off. An idempotent service has no records to copy. */
    public void setCopying(boolean needed) {
        if (needed && !copying) {
            standbys.forEach((slot, standby) -> secondPlace.assign(slot, standby.orElse(null)));
        } else if (!needed && copying) {
            standbys.keySet().forEach(slot -> secondPlace.unassign(slot).forEach(sink::recordNotStored));
        }
        copying = needed;
    }

    /**
     * Closes a slot of which nothing runs any more. Its records stay, since this companion may become its standby.
     *
     * @param version version that the slot is released for
     * @param budget bounds the answers among the records
     * @return all records of the slot, with a marker if it was open
     */
    public List<RequestRecord> release(SlotId slot, long version, long wallMs, BodyBudget budget) {
        List<RequestRecord> records = new ArrayList<>();
        OpenRecords opened = open.remove(slot);
        if (opened != null) {
            boolean unread = reading.contains(slot) || toRead.contains(slot);
            long unknownBeforeMs = unread ? wallMs + window.skewMs() : opened.unknownBeforeMs;
            records.add(new SlotMarker(slot, version, true, unknownBeforeMs).toRecord());
        }
        standbys.remove(slot);
        toRead.remove(slot);
        reading.remove(slot);
        secondPlace.unassign(slot).forEach(sink::recordNotStored);
        records.addAll(budget.apply(table.ofSlot(slot)));
        return records;
    }

    /** Wall clock time before which keys of an open slot may have run without a record. */
    private long unknownBeforeMs(SlotId slot) {
        OpenRecords records = open.get(slot);
        return records == null ? Long.MAX_VALUE : records.unknownBeforeMs;
    }

    /**
     * Looks up a request's idempotency key in an open slot.
     *
     * @param generated whether the key was made for this send, so that no earlier owner can have seen it
     */
    public Lookup lookup(SlotId slot, String keyText, boolean generated, long digest, long wallMs) {
        Optional<IdempotencyKey> parsed = IdempotencyKey.parse(keyText);
        if (parsed.isEmpty()) {
            return new Lookup(Lookup.Kind.INVALID, null, null);
        }
        RecordKey key = new RecordKey(slot, parsed.get().text());
        long timestampMs = parsed.get().timestampMs();
        RequestRecord record = table.get(key);
        if (!window.contains(timestampMs, wallMs) || timestampMs < oldestAcceptedMs) {
            return new Lookup(Lookup.Kind.OUTSIDE_WINDOW, key, record);
        }
        if (record != null && record.state() != RequestState.NOT_RUN) {
            return new Lookup(kindOf(record, key, digest), key, record);
        }
        if (!generated && (toRead.contains(slot) || reading.contains(slot)) || table.full()) {
            return new Lookup(Lookup.Kind.NOT_READY, key, record);
        }
        if (!generated && timestampMs < unknownBeforeMs(slot)) {
            return new Lookup(Lookup.Kind.UNKNOWN, key, record);
        }
        return new Lookup(Lookup.Kind.NEW, key, record);
    }

    /** Records the start of a request that {@link #lookup} found to be new, and stores it in the second place. */
    public RequestRecord start(RecordKey key, long digest, long wallMs) {
        RequestRecord earlier = table.get(key);
        long attemptMs = earlier == null ? wallMs : Math.max(wallMs, earlier.recordedAtMs() + 1);
        RequestRecord started = new RequestRecord(
                key.slot(), key.idempotencyKey(), digest, RequestState.STARTED, 0, "", Bytes.EMPTY, attemptMs);
        table.merge(started);
        active.add(key);
        secondPlace.store(started);
        return started;
    }

    /** Records that the request was answered. Returns the stored record. */
    public RequestRecord complete(RequestRecord started, int status, String contentType, Bytes body) {
        RequestRecord outcome = outcome(started, RequestState.COMPLETED, status, contentType, body);
        return end(body.size() > MAX_STORED_BODY_BYTES ? BodyBudget.withoutBody(outcome) : outcome);
    }

    /** Records that the request may have run but has no answer. */
    public void recordUnknown(RequestRecord started) {
        end(outcome(started, RequestState.UNKNOWN, 0, "", Bytes.EMPTY));
    }

    /** Records that the request did not run. Its key may be used again. */
    public void recordNotRun(RequestRecord started) {
        secondPlace.cancel(started);
        end(outcome(started, RequestState.NOT_RUN, 0, "", Bytes.EMPTY));
    }

    /** Merges records of another owner or of the requests stream. Own attempts are known better here. */
    public void addRecords(List<RequestRecord> records) {
        for (RequestRecord record : records) {
            if (!record.slot().service().equals(service)) {
                continue;
            }
            if (SlotMarker.isMarker(record)) {
                SlotMarker marker = SlotMarker.from(record);
                SlotMarker known = markers.get(marker.slot());
                if (known == null || marker.version() >= known.version()) {
                    markers.put(marker.slot(), marker);
                }
            } else if (!active.contains(RecordKey.of(record))) {
                table.merge(record);
            }
        }
    }

    /** The requests stream was read to its tail, as of the last call of {@link RecordSink#readRequestsStream}. */
    public void onStreamRead() {
        // The standby got no marker before the records were complete.
        reading.forEach(secondPlace::copyAgain);
        reading.clear();
        readStreamIfDue();
    }

    public void onRecordsInLogConfirmed() {
        secondPlace.confirmRecordsInLog();
    }

    public void onRecordsStored(long sequence) {
        secondPlace.stored(sequence);
    }

    public void onRecordsNotStored(long sequence, long nowNs) {
        secondPlace.notStored(sequence, nowNs);
    }

    /** Sends what was collected and drops expired records. Called after each event. */
    public void flush(long nowNs, long wallMs) {
        table.expire(wallMs);
        secondPlace.flush(nowNs);
    }

    public int size() {
        return table.size();
    }

    private RequestRecord end(RequestRecord outcome) {
        active.remove(RecordKey.of(outcome));
        table.merge(outcome);
        secondPlace.update(outcome);
        return outcome;
    }

    private static RequestRecord outcome(
            RequestRecord started, RequestState state, int status, String contentType, Bytes body) {
        return new RequestRecord(
                started.slot(),
                started.idempotencyKey(),
                started.digest(),
                state,
                status,
                contentType,
                body,
                started.recordedAtMs());
    }

    private Lookup.Kind kindOf(RequestRecord record, RecordKey key, long digest) {
        if (record.digest() != digest) {
            return Lookup.Kind.REUSED;
        }
        if (record.state() == RequestState.COMPLETED) {
            return Lookup.Kind.COMPLETED;
        }
        // A started record without a live request here comes from an owner that was lost.
        return active.contains(key) ? Lookup.Kind.RUNNING : Lookup.Kind.UNKNOWN;
    }

    private void readStreamIfDue() {
        if (reading.isEmpty() && !toRead.isEmpty()) {
            reading.addAll(toRead);
            toRead.clear();
            sink.readRequestsStream();
        }
    }

    private List<RequestRecord> recordsToCopy(SlotId slot) {
        List<RequestRecord> records = new ArrayList<>();
        OpenRecords opened = open.get(slot);
        if (opened != null && !reading.contains(slot) && !toRead.contains(slot)) {
            records.add(new SlotMarker(slot, opened.version, false, opened.unknownBeforeMs).toRecord());
        }
        records.addAll(table.ofSlot(slot));
        return records;
    }

    /** State of an open slot's records. */
    private static final class OpenRecords {
        private final long version;
        private final long unknownBeforeMs;

        OpenRecords(long version, long unknownBeforeMs) {
            this.version = version;
            this.unknownBeforeMs = unknownBeforeMs;
        }
    }
}
