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

/** Keeps records of non-idempotent requests, so that each request runs at most once. */
public final class Idempotency {
    /** A response with a larger body is stored and replayed without it. */
    public static final int MAX_STORED_BODY_BYTES = 16 << 10;

    private final String service;
    private final RecordSink sink;
    private final RecordTable table = new RecordTable();
    private final SecondCopyStore secondCopies;
    private final Map<SlotId, OpenRecords> openSlots = new HashMap<>();
    private final Map<SlotId, Optional<Incarnation>> standbys = new HashMap<>();
    private final Map<SlotId, SlotMarker> markers = new HashMap<>();
    private final Set<RecordKey> activeKeys = new HashSet<>();
    private final Set<SlotId> slotsBeingRead = new HashSet<>();
    private final Set<SlotId> slotsToRead = new HashSet<>();
    private boolean copyingEnabled = true;
    private KeyWindow window = KeyWindow.DEFAULT;
    private long oldestAcceptedMs = Long.MIN_VALUE;

    public Idempotency(String service, RecordSink sink) {
        this.service = Objects.requireNonNull(service, "service");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.secondCopies = new SecondCopyStore(sink, this::recordsToCopy);
    }

    /** Applies a published window. Keys that a shorter window refused stay refused, as their records are dropped. */
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
     * @param recordsComplete whether every earlier owner has transferred its records; otherwise the records are
     *     complete only if a valid marker shows that this companion was a synchronised standby of the lost owner
     * @param readStream whether records may be in the requests stream
     */
    public void open(
            SlotId slot, long version, Incarnation standby, boolean recordsComplete, boolean readStream, long wallMs) {
        SlotMarker marker = markers.remove(slot);
        OpenRecords existing = openSlots.get(slot);
        long unknownBeforeMs;
        if (existing != null) {
            unknownBeforeMs = existing.unknownBeforeMs;
        } else if (recordsComplete || marker != null && marker.isValidAt(version)) {
            unknownBeforeMs = marker == null ? Long.MIN_VALUE : marker.unknownBeforeMs();
        } else {
            unknownBeforeMs = wallMs + window.skewMs();
        }
        openSlots.put(slot, new OpenRecords(version, unknownBeforeMs));
        if (readStream && existing == null) {
            slotsToRead.add(slot);
            readStreamIfIdle();
        }
        standbys.put(slot, standby == null ? Optional.empty() : Optional.of(standby));
        if (copyingEnabled) {
            secondCopies.assignStandby(slot, standby);
        }
    }

    /** Enables or disables copying the records of open slots. An idempotent service has none to copy. */
    public void setCopying(boolean enabled) {
        if (enabled && !copyingEnabled) {
            standbys.forEach((slot, standby) -> secondCopies.assignStandby(slot, standby.orElse(null)));
        } else if (!enabled && copyingEnabled) {
            standbys.keySet().forEach(slot -> secondCopies.unassign(slot).forEach(sink::recordNotStored));
        }
        copyingEnabled = enabled;
    }

    /**
     * Closes a slot that has no running requests. Its records stay, since this companion may become its standby.
     *
     * @param version version that the slot is released for
     * @param budget limits the total size of the response bodies
     * @return all records of the slot, with a marker if it was open
     */
    public List<RequestRecord> release(SlotId slot, long version, long wallMs, BodyBudget budget) {
        List<RequestRecord> records = new ArrayList<>();
        OpenRecords openRecords = openSlots.remove(slot);
        if (openRecords != null) {
            boolean incomplete = slotsBeingRead.contains(slot) || slotsToRead.contains(slot);
            long unknownBeforeMs = incomplete ? wallMs + window.skewMs() : openRecords.unknownBeforeMs;
            records.add(new SlotMarker(slot, version, true, unknownBeforeMs).toRecord());
        }
        standbys.remove(slot);
        slotsToRead.remove(slot);
        slotsBeingRead.remove(slot);
        secondCopies.unassign(slot).forEach(sink::recordNotStored);
        records.addAll(budget.apply(table.ofSlot(slot)));
        return records;
    }

    /** Wall clock time before which keys of an open slot may have run without a record. */
    private long unknownBeforeMs(SlotId slot) {
        OpenRecords records = openSlots.get(slot);
        return records == null ? Long.MAX_VALUE : records.unknownBeforeMs;
    }

    /**
     * Looks up a request's idempotency key in an open slot.
     *
     * @param generated whether the key was generated for this attempt, so that no earlier owner can have received it
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
        if (!generated && (slotsToRead.contains(slot) || slotsBeingRead.contains(slot)) || table.isFull()) {
            return new Lookup(Lookup.Kind.NOT_READY, key, record);
        }
        if (!generated && timestampMs < unknownBeforeMs(slot)) {
            return new Lookup(Lookup.Kind.UNKNOWN, key, record);
        }
        return new Lookup(Lookup.Kind.NEW, key, record);
    }

    /** Records the start of a request that {@link #lookup} found to be new, and stores a second copy of it. */
    public RequestRecord start(RecordKey key, long digest, long wallMs) {
        RequestRecord earlier = table.get(key);
        long attemptMs = earlier == null ? wallMs : Math.max(wallMs, earlier.recordedAtMs() + 1);
        RequestRecord started = new RequestRecord(
                key.slot(), key.idempotencyKey(), digest, RequestState.STARTED, 0, "", Bytes.EMPTY, attemptMs);
        table.merge(started);
        activeKeys.add(key);
        secondCopies.store(started);
        return started;
    }

    /** Records the response of the request. Returns the stored record. */
    public RequestRecord complete(RequestRecord started, int status, String contentType, Bytes body) {
        RequestRecord outcome = outcome(started, RequestState.COMPLETED, status, contentType, body);
        return recordOutcome(body.size() > MAX_STORED_BODY_BYTES ? BodyBudget.withoutBody(outcome) : outcome);
    }

    /** Records that the request may have run and no response was received. */
    public void recordUnknown(RequestRecord started) {
        recordOutcome(outcome(started, RequestState.UNKNOWN, 0, "", Bytes.EMPTY));
    }

    /** Records that the request did not run. Its key may be used again. */
    public void recordNotRun(RequestRecord started) {
        secondCopies.cancel(started);
        recordOutcome(outcome(started, RequestState.NOT_RUN, 0, "", Bytes.EMPTY));
    }

    /**
     * Merges records of another owner or of the requests stream. Records of requests that are active here are ignored,
     * since this companion has their latest state.
     */
    public void addRecords(List<RequestRecord> records) {
        for (RequestRecord record : records) {
            if (!record.slot().service().equals(service)) {
                continue;
            }
            if (SlotMarker.isMarker(record)) {
                SlotMarker marker = SlotMarker.from(record);
                SlotMarker existing = markers.get(marker.slot());
                if (existing == null || marker.version() >= existing.version()) {
                    markers.put(marker.slot(), marker);
                }
            } else if (!activeKeys.contains(RecordKey.of(record))) {
                table.merge(record);
            }
        }
    }

    /** Called when the read that {@link RecordSink#readRequestsStream} last requested has reached the tail. */
    public void onStreamRead() {
        // The standby has not received a marker, since the records were incomplete until now.
        slotsBeingRead.forEach(secondCopies::copyAgain);
        slotsBeingRead.clear();
        readStreamIfIdle();
    }

    public void onRecordsInLogConfirmed() {
        secondCopies.confirmRecordsInLog();
    }

    public void onRecordsStored(long sequence) {
        secondCopies.onStored(sequence);
    }

    public void onRecordsNotStored(long sequence, long nowNs) {
        secondCopies.onNotStored(sequence, nowNs);
    }

    /** Drops expired records and sends the collected ones. Called after each event. */
    public void flush(long nowNs, long wallMs) {
        table.expire(wallMs);
        secondCopies.flush(nowNs);
    }

    public int size() {
        return table.size();
    }

    private RequestRecord recordOutcome(RequestRecord outcome) {
        activeKeys.remove(RecordKey.of(outcome));
        table.merge(outcome);
        secondCopies.storeOutcome(outcome);
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
        // A started record without an active request was received from a lost owner.
        return activeKeys.contains(key) ? Lookup.Kind.RUNNING : Lookup.Kind.UNKNOWN;
    }

    private void readStreamIfIdle() {
        if (slotsBeingRead.isEmpty() && !slotsToRead.isEmpty()) {
            slotsBeingRead.addAll(slotsToRead);
            slotsToRead.clear();
            sink.readRequestsStream();
        }
    }

    private List<RequestRecord> recordsToCopy(SlotId slot) {
        List<RequestRecord> records = new ArrayList<>();
        OpenRecords openRecords = openSlots.get(slot);
        if (openRecords != null && !slotsBeingRead.contains(slot) && !slotsToRead.contains(slot)) {
            records.add(new SlotMarker(slot, openRecords.version, false, openRecords.unknownBeforeMs).toRecord());
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
