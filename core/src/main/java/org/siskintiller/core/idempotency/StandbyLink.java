package org.siskintiller.core.idempotency;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.core.model.RequestRecord.RequestState;
import org.siskintiller.core.model.SlotId;

/**
 * Copying of records to one standby. A slot counts as synchronised after the standby acknowledged all of its records,
 * and until any later message to the standby fails.
 */
final class StandbyLink {
    /** Time after which an answer that never came counts as a failure. The node answers within 50 ms. */
    private static final long ANSWER_TIMEOUT_NS = 200_000_000L;
    /** Pause before all records are sent again after a failure. It doubles with each further failure. */
    private static final long RESYNC_INTERVAL_NS = 1_000_000_000L;

    private static final int MAX_RESYNC_DOUBLINGS = 4;
    /** Records per message of a synchronisation. A slot is never split. */
    private static final int SYNC_RECORDS = 2_000;

    private final Incarnation standby;
    private final Set<SlotId> synced = new HashSet<>();
    private final Set<SlotId> syncing = new LinkedHashSet<>();
    private final Set<SlotId> toSync = new LinkedHashSet<>();
    private final List<RequestRecord> batch = new ArrayList<>();
    private final Map<Long, Sent> pending = new LinkedHashMap<>();
    private final List<RequestRecord> awaitingSync = new ArrayList<>();
    private long syncSequence = -1;
    private long syncSentNs;
    private int failures;
    private long retryNs = Long.MIN_VALUE;

    StandbyLink(Incarnation standby) {
        this.standby = standby;
    }

    /** Copies the slot's records from now on, after all that exist now. A synchronised slot stays so meanwhile. */
    void attach(SlotId slot) {
        toSync.add(slot);
    }

    /** Returns started records of the slot whose storage was not confirmed. */
    List<RequestRecord> detach(SlotId slot) {
        synced.remove(slot);
        syncing.remove(slot);
        toSync.remove(slot);
        List<RequestRecord> unconfirmed = new ArrayList<>();
        for (Sent sent : pending.values()) {
            moveSlot(slot, sent.started, unconfirmed);
        }
        moveSlot(slot, awaitingSync, unconfirmed);
        batch.removeIf(record -> record.slot().equals(slot) && move(record, unconfirmed));
        return unconfirmed;
    }

    boolean unused() {
        return synced.isEmpty() && syncing.isEmpty() && toSync.isEmpty();
    }

    /** Copies a record that the table already has. Returns false while the standby does not answer. */
    boolean add(RequestRecord record) {
        SlotId slot = record.slot();
        if (synced.contains(slot) || syncing.contains(slot) && !toSync.contains(slot)) {
            batch.add(record);
            return true;
        }
        if (toSync.contains(slot) && retryNs == Long.MIN_VALUE) {
            // The synchronisation that is due copies the whole table with this record.
            if (record.state() == RequestState.STARTED) {
                awaitingSync.add(record);
            }
            return true;
        }
        return false;
    }

    boolean isTo(Incarnation incarnation) {
        return standby.equals(incarnation);
    }

    void flush(SecondPlace place, long nowNs) {
        if (!batch.isEmpty()) {
            long sequence = place.nextSequence();
            List<RequestRecord> started = new ArrayList<>();
            for (RequestRecord record : batch) {
                if (record.state() == RequestState.STARTED) {
                    started.add(record);
                }
            }
            pending.put(sequence, new Sent(started, nowNs));
            place.sink().storeAtStandby(standby, sequence, false, batch);
            batch.clear();
        }
        if (syncSequence < 0 && !toSync.isEmpty() && (retryNs == Long.MIN_VALUE || nowNs >= retryNs)) {
            synchronise(place, nowNs);
        }
    }

    /** Returns started records that the standby has stored, or null if the sequence number is not known. */
    List<RequestRecord> stored(long sequence) {
        List<RequestRecord> ready = new ArrayList<>();
        if (sequence == syncSequence) {
            synced.addAll(syncing);
            syncing.clear();
            syncSequence = -1;
            retryNs = Long.MIN_VALUE;
            failures = 0;
            awaitingSync.removeIf(record -> synced.contains(record.slot()) && move(record, ready));
            return ready;
        }
        Sent sent = pending.remove(sequence);
        if (sent == null) {
            return null;
        }
        for (RequestRecord record : sent.started) {
            (synced.contains(record.slot()) ? ready : awaitingSync).add(record);
        }
        return ready;
    }

    boolean sent(long sequence) {
        return sequence == syncSequence || pending.containsKey(sequence);
    }

    boolean timedOut(long nowNs) {
        if (syncSequence >= 0 && nowNs - syncSentNs > ANSWER_TIMEOUT_NS) {
            return true;
        }
        return !pending.isEmpty() && nowNs - pending.values().iterator().next().sentNs > ANSWER_TIMEOUT_NS;
    }

    /** Forgets what the standby has. Returns started records whose storage was not confirmed. */
    List<RequestRecord> fail(long nowNs) {
        List<RequestRecord> unconfirmed = new ArrayList<>(awaitingSync);
        for (Sent sent : pending.values()) {
            unconfirmed.addAll(sent.started);
        }
        for (RequestRecord record : batch) {
            if (record.state() == RequestState.STARTED) {
                unconfirmed.add(record);
            }
        }
        awaitingSync.clear();
        pending.clear();
        batch.clear();
        toSync.addAll(synced);
        toSync.addAll(syncing);
        synced.clear();
        syncing.clear();
        syncSequence = -1;
        retryNs = nowNs + (RESYNC_INTERVAL_NS << Math.min(failures, MAX_RESYNC_DOUBLINGS));
        failures++;
        return unconfirmed;
    }

    void cancel(RequestRecord started) {
        awaitingSync.remove(started);
        for (Sent sent : pending.values()) {
            sent.started.remove(started);
        }
    }

    private void synchronise(SecondPlace place, long nowNs) {
        List<RequestRecord> records = new ArrayList<>();
        BodyBudget budget = new BodyBudget(BodyBudget.MAX_MESSAGE_BODY_BYTES);
        for (SlotId slot : List.copyOf(toSync)) {
            List<RequestRecord> ofSlot = place.recordsToCopy(slot);
            if (!records.isEmpty() && records.size() + ofSlot.size() > SYNC_RECORDS) {
                break;
            }
            records.addAll(budget.apply(ofSlot));
            toSync.remove(slot);
            syncing.add(slot);
        }
        syncSequence = place.nextSequence();
        syncSentNs = nowNs;
        place.sink().storeAtStandby(standby, syncSequence, true, records);
    }

    private static void moveSlot(SlotId slot, Collection<RequestRecord> from, List<RequestRecord> to) {
        from.removeIf(record -> record.slot().equals(slot) && move(record, to));
    }

    private static boolean move(RequestRecord record, List<RequestRecord> to) {
        if (record.state() == RequestState.STARTED) {
            to.add(record);
        }
        return true;
    }

    /** Message that the standby has not acknowledged yet, with the started records in it. */
    private static final class Sent {
        private final List<RequestRecord> started;
        private final long sentNs;

        Sent(List<RequestRecord> started, long sentNs) {
            this.started = started;
            this.sentNs = sentNs;
        }
    }
}
