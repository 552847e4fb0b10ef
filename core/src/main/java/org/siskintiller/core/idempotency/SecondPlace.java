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

/** Keeps records in a second place: the slot's standby, or the log while the standby does not have all records. */
final class SecondPlace {
    private final RecordSink sink;
    private final Function<SlotId, List<RequestRecord>> recordsToCopy;
    private final Map<Incarnation, StandbyLink> links = new LinkedHashMap<>();
    private final Map<SlotId, StandbyLink> linkOfSlot = new HashMap<>();
    private final LogPlace log = new LogPlace();
    private long sequence;

    /**
     * Creates the storage.
     *
     * @param recordsToCopy all records of a slot with its marker
     */
    SecondPlace(RecordSink sink, Function<SlotId, List<RequestRecord>> recordsToCopy) {
        this.sink = sink;
        this.recordsToCopy = recordsToCopy;
    }

    RecordSink sink() {
        return sink;
    }

    long nextSequence() {
        return ++sequence;
    }

    List<RequestRecord> recordsToCopy(SlotId slot) {
        return recordsToCopy.apply(slot);
    }

    /** Copies the slot to the standby, or to none. All records are copied again, even to the same standby. */
    void assign(SlotId slot, Incarnation standby) {
        StandbyLink current = linkOfSlot.get(slot);
        if (current != null && current.isTo(standby)) {
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
            log.store(started, sink);
        }
    }

    /** Stores an outcome. Nothing waits for it. */
    void update(RequestRecord outcome) {
        StandbyLink link = linkOfSlot.get(outcome.slot());
        if (link != null) {
            link.add(outcome);
        }
        log.update(outcome);
    }

    void cancel(RequestRecord started) {
        log.cancel(started);
        StandbyLink link = linkOfSlot.get(started.slot());
        if (link != null) {
            link.cancel(started);
        }
    }

    void stored(long answered) {
        List<RequestRecord> started = log.answered(answered);
        for (StandbyLink link : links.values()) {
            if (started != null) {
                break;
            }
            started = link.stored(answered);
        }
        if (started != null) {
            started.forEach(sink::recordStored);
        }
    }

    void notStored(long answered, long nowNs) {
        List<RequestRecord> refused = log.answered(answered);
        if (refused != null) {
            refused.forEach(sink::recordNotStored);
            return;
        }
        for (StandbyLink link : links.values()) {
            if (link.sent(answered)) {
                moveToLog(link, nowNs);
                return;
            }
        }
    }

    void confirmRecordsInLog() {
        log.confirm();
    }

    /** Sends what was collected. Called after each event. */
    void flush(long nowNs) {
        for (StandbyLink link : links.values()) {
            if (link.timedOut(nowNs)) {
                moveToLog(link, nowNs);
            }
            link.flush(this, nowNs);
        }
        links.values().removeIf(StandbyLink::unused);
        log.flush(this);
    }

    private void moveToLog(StandbyLink link, long nowNs) {
        for (RequestRecord started : new ArrayList<>(link.fail(nowNs))) {
            log.store(started, sink);
        }
    }
}
