package org.siskintiller.core.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.siskintiller.core.model.RequestRecord;

/**
 * Storage of records in the requests stream. Nothing is appended before the witnesses know that records may be there,
 * since a claimant reads the stream only then.
 */
final class LogPlace {
    private final Set<RequestRecord> waiting = new LinkedHashSet<>();
    private final List<RequestRecord> batch = new ArrayList<>();
    private final Map<Long, List<RequestRecord>> pending = new HashMap<>();
    private final Set<RecordKey> logged = new HashSet<>();
    private boolean requested;
    private boolean confirmed;

    void store(RequestRecord started, RecordSink sink) {
        if (confirmed) {
            batch.add(started);
            return;
        }
        waiting.add(started);
        if (!requested) {
            requested = true;
            sink.requestRecordsInLog();
        }
    }

    /** Adds the outcome if the log has the start, so that a claimant does not take it for unknown. */
    void update(RequestRecord outcome) {
        if (logged.remove(RecordKey.of(outcome))) {
            batch.add(outcome);
        }
    }

    void confirm() {
        confirmed = true;
        batch.addAll(waiting);
        waiting.clear();
    }

    void flush(SecondPlace place) {
        if (batch.isEmpty()) {
            return;
        }
        long sequence = place.nextSequence();
        List<RequestRecord> started = new ArrayList<>();
        for (RequestRecord record : batch) {
            if (record.state() == RequestRecord.RequestState.STARTED) {
                started.add(record);
                logged.add(RecordKey.of(record));
            }
        }
        pending.put(sequence, started);
        place.sink().storeInLog(sequence, batch);
        batch.clear();
    }

    /** Removes and returns the started records of a message, or null if the sequence number is not known. */
    List<RequestRecord> answered(long sequence) {
        return pending.remove(sequence);
    }

    void cancel(RequestRecord started) {
        waiting.remove(started);
        batch.remove(started);
    }
}
