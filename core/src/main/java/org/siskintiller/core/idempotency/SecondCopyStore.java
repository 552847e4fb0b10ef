package org.siskintiller.core.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.SlotId;

/** Stores a second copy of each record: at the slot's standby, or in the log while the standby lacks records. */
final class SecondCopyStore {
    private final RecordSink sink;
    private final Function<SlotId, List<RequestRecord>> recordsToCopy;
    private final Map<Incarnation, StandbyLink> links = new LinkedHashMap<>();
    private final Map<SlotId, StandbyLink> linkOfSlot = new HashMap<>();
    private final RequestsStreamWriter streamWriter = new RequestsStreamWriter();
    private long lastSequence;

    /**
     * Creates the store.
     *
     * @param recordsToCopy returns all records of a slot, with its marker if they are complete
     */
    SecondCopyStore(RecordSink sink, Function<SlotId, List<RequestRecord>> recordsToCopy) {
        this.sink = sink;
        this.recordsToCopy = recordsToCopy;
    }

    RecordSink sink() {
        return sink;
    }

    long nextSequence() {
        return ++lastSequence;
    }

    List<RequestRecord> recordsToCopy(SlotId slot) {
        return recordsToCopy.apply(slot);
    }

    /**
     * Copies the slot to the standby from now on, or to none if it is null. All records are copied again, even to the
     * same standby.
     */
    void assignStandby(SlotId slot, Incarnation standby) {
        StandbyLink current = linkOfSlot.get(slot);
        if (current != null && current.isFor(standby)) {
            current.attach(slot);
            return;
        }
        List<RequestRecord> unconfirmed = unassign(slot);
        if (standby != null) {
            StandbyLink link = links.computeIfAbsent(standby, StandbyLink::new);
            link.attach(slot);
            linkOfSlot.put(slot, link);
        }
        unconfirmed.forEach(this::store);
    }

    /** Copies all records of the slot to its standby again. */
    void copyAgain(SlotId slot) {
        StandbyLink link = linkOfSlot.get(slot);
        if (link != null) {
            link.attach(slot);
        }
    }

    /** Stops copying the slot. Returns started records whose storage was not confirmed. */
    List<RequestRecord> unassign(SlotId slot) {
        StandbyLink link = linkOfSlot.remove(slot);
        return link == null ? List.of() : link.detach(slot);
    }

    /** Stores the record of a request that is to be dispatched. */
    void store(RequestRecord started) {
        StandbyLink link = linkOfSlot.get(started.slot());
        if (link == null || !link.add(started)) {
            streamWriter.store(started, sink);
        }
    }

    /** Stores an outcome, without waiting for a confirmation. */
    void storeOutcome(RequestRecord outcome) {
        StandbyLink link = linkOfSlot.get(outcome.slot());
        if (link != null) {
            link.add(outcome);
        }
        streamWriter.storeOutcome(outcome);
    }

    void cancel(RequestRecord started) {
        streamWriter.cancel(started);
        StandbyLink link = linkOfSlot.get(started.slot());
        if (link != null) {
            link.cancel(started);
        }
    }

    void onStored(long sequence) {
        List<RequestRecord> started = streamWriter.takePending(sequence);
        for (StandbyLink link : links.values()) {
            if (started != null) {
                break;
            }
            started = link.onStored(sequence);
        }
        if (started != null) {
            started.forEach(sink::recordStored);
        }
    }

    void onNotStored(long sequence, long nowNs) {
        List<RequestRecord> notStored = streamWriter.takePending(sequence);
        if (notStored != null) {
            notStored.forEach(sink::recordNotStored);
            return;
        }
        for (StandbyLink link : links.values()) {
            if (link.isPending(sequence)) {
                moveToLog(link, nowNs);
                return;
            }
        }
    }

    void confirmRecordsInLog() {
        streamWriter.confirm();
    }

    /** Sends the collected records. Called after each event. */
    void flush(long nowNs) {
        for (StandbyLink link : links.values()) {
            if (link.isTimedOut(nowNs)) {
                moveToLog(link, nowNs);
            }
            link.flush(this, nowNs);
        }
        links.values().removeIf(StandbyLink::isUnused);
        streamWriter.flush(this);
    }

    private void moveToLog(StandbyLink link, long nowNs) {
        for (RequestRecord started : new ArrayList<>(link.onFailure(nowNs))) {
            streamWriter.store(started, sink);
        }
    }
}
