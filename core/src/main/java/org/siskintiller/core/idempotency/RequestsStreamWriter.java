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
 * Appends records to the requests stream. Nothing is appended before the witnesses have confirmed that the stream may
 * contain records, since otherwise a claimant does not read it.
 */
final class RequestsStreamWriter {
    private final Set<RequestRecord> awaitingConfirmation = new LinkedHashSet<>();
    private final List<RequestRecord> batch = new ArrayList<>();
    private final Map<Long, List<RequestRecord>> pending = new HashMap<>();
    private final Set<RecordKey> keysInLog = new HashSet<>();
    private boolean confirmationRequested;
    private boolean confirmed;

    void store(RequestRecord started, RecordSink sink) {
        if (confirmed) {
            batch.add(started);
            return;
        }
        awaitingConfirmation.add(started);
        if (!confirmationRequested) {
            confirmationRequested = true;
            sink.requestRecordsInLog();
        }
    }

    /** Appends the outcome if the log has the start, so that a claimant does not treat the request as unknown. */
    void storeOutcome(RequestRecord outcome) {
        if (keysInLog.remove(RecordKey.of(outcome))) {
            batch.add(outcome);
        }
    }

    void confirm() {
        confirmed = true;
        batch.addAll(awaitingConfirmation);
        awaitingConfirmation.clear();
    }

    void flush(SecondCopyStore copies) {
        if (batch.isEmpty()) {
            return;
        }
        long sequence = copies.nextSequence();
        List<RequestRecord> started = new ArrayList<>();
        for (RequestRecord record : batch) {
            if (record.state() == RequestRecord.RequestState.STARTED) {
                started.add(record);
                keysInLog.add(RecordKey.of(record));
            }
        }
        pending.put(sequence, started);
        copies.sink().storeInLog(sequence, batch);
        batch.clear();
    }

    /** Removes and returns the started records of a message, or null if the sequence number is not known. */
    List<RequestRecord> takePending(long sequence) {
        return pending.remove(sequence);
    }

    void cancel(RequestRecord started) {
        awaitingConfirmation.remove(started);
        batch.remove(started);
    }
}
