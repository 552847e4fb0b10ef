package org.siskintiller.ctl;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.replay.Outcome;
import org.siskintiller.logclient.AppendResult;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.logclient.PendingRecord;
import org.siskintiller.wire.LogCodec;

/**
 * Appends a record and determines its outcome. An append without a response is retried with the same operation id,
 * which replay applies once, and the log is searched for that id. The outcome is that of the first record with the id.
 */
final class Submitter {
    private static final int MAX_ATTEMPTS = 5;
    /** Delay after the first attempt. It doubles with each attempt: 100, 200, 400, 800 and 1600 ms. */
    private static final long MIN_RETRY_DELAY_MS = 100;

    private final LogClient client;
    private final ControlStream stream;
    private final Supplier<OperationId> operationIds;
    private final TimeSource time;
    private final Set<OperationId> submitted = new HashSet<>();
    private final Map<OperationId, Submission> outcomes = new HashMap<>();

    Submitter(LogClient client, ControlStream stream, Supplier<OperationId> operationIds, TimeSource time) {
        this.client = client;
        this.stream = stream;
        this.operationIds = operationIds;
        this.time = time;
        stream.addVisitor(this::recordOutcome);
    }

    Submission submit(LogRecord record) {
        OperationId id = operationIds.get();
        List<PendingRecord> batch = List.of(new PendingRecord(id, Bytes.copyOf(LogCodec.encode(record))));
        submitted.add(id);
        boolean maybeStored = false;
        boolean stored = false;
        String reason = "";
        long retryDelayMs = MIN_RETRY_DELAY_MS;
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            if (!stored) {
                AppendResult result = client.append(ControlStream.NAME, batch);
                if (result instanceof AppendResult.Refused refused && !maybeStored) {
                    return new Submission.NotStored(refused.reason());
                }
                maybeStored = true;
                stored = result instanceof AppendResult.Stored;
                reason = reasonOf(result);
            }
            Progress progress = stream.readToTail(0);
            if (outcomes.containsKey(id)) {
                return outcomes.get(id);
            }
            if (stored && progress instanceof Progress.Unavailable unavailable) {
                reason = "the log stored the record and cannot be read back: " + unavailable.reason();
            }
            time.sleepMs(retryDelayMs);
            retryDelayMs *= 2;
        }
        return new Submission.Unknown(id, stream.nextOffset(), reason);
    }

    private void recordOutcome(ReplayedRecord replayed) {
        OperationId id = replayed.entry().operationId();
        if (!submitted.contains(id)
                || outcomes.containsKey(id)
                || replayed.outcome().isEmpty()) {
            return;
        }
        long offset = replayed.entry().offset();
        Outcome outcome = replayed.outcome().get();
        outcomes.put(
                id,
                outcome instanceof Outcome.Void cause
                        ? new Submission.NoEffect(id, offset, cause)
                        : new Submission.Applied(id, offset));
    }

    private static String reasonOf(AppendResult result) {
        if (result instanceof AppendResult.Uncertain uncertain) {
            return uncertain.reason();
        }
        return result instanceof AppendResult.Refused refused ? refused.reason() : "";
    }
}
