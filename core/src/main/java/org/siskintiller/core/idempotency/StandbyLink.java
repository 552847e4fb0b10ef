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
 * Copies records to one standby. A slot is synchronised once the standby has acknowledged all of its records, until a
 * later message to the standby fails.
 */
final class StandbyLink {
    /** Time after which a missing acknowledgement counts as a failure. The node reports the result within 50 ms. */
    private static final long ACK_TIMEOUT_NS = 200_000_000L;
    /** Delay before all records are sent again after a failure. It doubles with each further failure. */
    private static final long MIN_RESYNC_DELAY_NS = 1_000_000_000L;

    private static final int MAX_RESYNC_DOUBLINGS = 4;
    /** Records in one message of a synchronisation. A slot is never split; one with more records is sent alone. */
    private static final int MAX_SYNC_RECORDS = 2_000;

    private final Incarnation standby;
    private final Set<SlotId> synced = new HashSet<>();
    private final Set<SlotId> syncing = new LinkedHashSet<>();
    private final Set<SlotId> toSync = new LinkedHashSet<>();
    private final List<RequestRecord> batch = new ArrayList<>();
    private final Map<Long, Sent> pending = new LinkedHashMap<>();
    private final List<RequestRecord> awaitingSync = new ArrayList<>();
    private long pendingSyncSequence = -1;
    private long syncSentNs;
    private int failures;
    private long resyncAtNs = Long.MIN_VALUE;

    StandbyLink(Incarnation standby) {
        this.standby = standby;
    }

    /** Copies the slot's present records and then each new one. A synchronised slot stays synchronised meanwhile. */
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
            moveRecordsOf(slot, sent.started, unconfirmed);
        }
        moveRecordsOf(slot, awaitingSync, unconfirmed);
        batch.removeIf(record -> record.slot().equals(slot) && addIfStarted(record, unconfirmed));
        return unconfirmed;
    }

    boolean isUnused() {
        return synced.isEmpty() && syncing.isEmpty() && toSync.isEmpty();
    }

    /** Copies a record that is already in the table. Returns false between a failure and the next synchronisation. */
    boolean add(RequestRecord record) {
        SlotId slot = record.slot();
        if (synced.contains(slot) || syncing.contains(slot) && !toSync.contains(slot)) {
            batch.add(record);
            return true;
        }
        if (toSync.contains(slot) && resyncAtNs == Long.MIN_VALUE) {
            // The synchronisation that is about to start copies all records of the slot, including this one.
            if (record.state() == RequestState.STARTED) {
                awaitingSync.add(record);
            }
            return true;
        }
        return false;
    }

    boolean isFor(Incarnation incarnation) {
        return standby.equals(incarnation);
    }

    void flush(SecondCopyStore copies, long nowNs) {
        if (!batch.isEmpty()) {
            long sequence = copies.nextSequence();
            List<RequestRecord> started = new ArrayList<>();
            for (RequestRecord record : batch) {
                if (record.state() == RequestState.STARTED) {
                    started.add(record);
                }
            }
            pending.put(sequence, new Sent(started, nowNs));
            copies.sink().storeAtStandby(standby, sequence, false, batch);
            batch.clear();
        }
        if (pendingSyncSequence < 0 && !toSync.isEmpty() && (resyncAtNs == Long.MIN_VALUE || nowNs >= resyncAtNs)) {
            synchronise(copies, nowNs);
        }
    }

    /** Returns started records that the standby has stored, or null if the sequence number is unknown. */
    List<RequestRecord> onStored(long sequence) {
        List<RequestRecord> confirmed = new ArrayList<>();
        if (sequence == pendingSyncSequence) {
            synced.addAll(syncing);
            syncing.clear();
            pendingSyncSequence = -1;
            resyncAtNs = Long.MIN_VALUE;
            failures = 0;
            awaitingSync.removeIf(record -> synced.contains(record.slot()) && addIfStarted(record, confirmed));
            return confirmed;
        }
        Sent sent = pending.remove(sequence);
        if (sent == null) {
            return null;
        }
        for (RequestRecord record : sent.started) {
            (synced.contains(record.slot()) ? confirmed : awaitingSync).add(record);
        }
        return confirmed;
    }

    boolean isPending(long sequence) {
        return sequence == pendingSyncSequence || pending.containsKey(sequence);
    }

    boolean isTimedOut(long nowNs) {
        if (pendingSyncSequence >= 0 && nowNs - syncSentNs > ACK_TIMEOUT_NS) {
            return true;
        }
        return !pending.isEmpty() && nowNs - pending.values().iterator().next().sentNs > ACK_TIMEOUT_NS;
    }

    /** Marks all slots as not synchronised. Returns started records whose storage was not confirmed. */
    List<RequestRecord> onFailure(long nowNs) {
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
        pendingSyncSequence = -1;
        resyncAtNs = nowNs + (MIN_RESYNC_DELAY_NS << Math.min(failures, MAX_RESYNC_DOUBLINGS));
        failures++;
        return unconfirmed;
    }

    void cancel(RequestRecord started) {
        awaitingSync.remove(started);
        for (Sent sent : pending.values()) {
            sent.started.remove(started);
        }
    }

    private void synchronise(SecondCopyStore copies, long nowNs) {
        List<RequestRecord> records = new ArrayList<>();
        BodyBudget budget = new BodyBudget(BodyBudget.MAX_MESSAGE_BODY_BYTES);
        for (SlotId slot : List.copyOf(toSync)) {
            List<RequestRecord> ofSlot = copies.recordsToCopy(slot);
            if (!records.isEmpty() && records.size() + ofSlot.size() > MAX_SYNC_RECORDS) {
                break;
            }
            records.addAll(budget.apply(ofSlot));
            toSync.remove(slot);
            syncing.add(slot);
        }
        pendingSyncSequence = copies.nextSequence();
        syncSentNs = nowNs;
        copies.sink().storeAtStandby(standby, pendingSyncSequence, true, records);
    }

    private static void moveRecordsOf(SlotId slot, Collection<RequestRecord> from, List<RequestRecord> to) {
        from.removeIf(record -> record.slot().equals(slot) && addIfStarted(record, to));
    }

    private static boolean addIfStarted(RequestRecord record, List<RequestRecord> to) {
        if (record.state() == RequestState.STARTED) {
            to.add(record);
        }
        return true;
    }

    /** Message that the standby has not acknowledged yet, with its started records. */
    private static final class Sent {
        private final List<RequestRecord> started;
        private final long sentNs;

        Sent(List<RequestRecord> started, long sentNs) {
            this.started = started;
            this.sentNs = sentNs;
        }
    }
}
