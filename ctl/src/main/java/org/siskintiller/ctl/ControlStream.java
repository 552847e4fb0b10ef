package org.siskintiller.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.siskintiller.core.model.AuditEntry;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.replay.ClusterState;
import org.siskintiller.core.replay.Replay;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.logclient.ReadResult;
import org.siskintiller.logclient.StoredRecord;
import org.siskintiller.wire.Decoded;
import org.siskintiller.wire.LogCodec;

/**
 * Reads and replays the control stream. Reading begins at offset 0 or, when the first records have expired, at the
 * first retained snapshot.
 */
final class ControlStream {
    static final String NAME = "control";
    private static final int MAX_BATCH_RECORDS = 500;

    private final LogClient client;
    private final List<RecordVisitor> visitors = new ArrayList<>();
    /** Records before a usable snapshot; null once replay has started. */
    private List<StoredRecord> beforeSnapshot;

    private long firstRetainedOffset;
    private long nextOffset;
    private ClusterState state = ClusterState.EMPTY;

    ControlStream(LogClient client) {
        this.client = client;
    }

    /** Adds a visitor for the records that are read from now on. */
    void addVisitor(RecordVisitor visitor) {
        visitors.add(visitor);
    }

    /** State through the last replayed record. */
    ClusterState state() {
        return state;
    }

    /** Offset that is read next. */
    long nextOffset() {
        return nextOffset;
    }

    /**
     * Reads records up to the tail of the log.
     *
     * @param waitMs maximum time to wait for the first new record
     */
    Progress readToTail(long waitMs) {
        long batchWaitMs = waitMs;
        while (true) {
            ReadResult result = client.read(NAME, nextOffset, MAX_BATCH_RECORDS, batchWaitMs);
            if (result instanceof ReadResult.Unavailable unavailable) {
                return new Progress.Unavailable(unavailable.reason());
            }
            Optional<String> fault = fault(result);
            if (fault.isPresent()) {
                return new Progress.Unavailable(fault.get());
            }
            if (result instanceof ReadResult.Expired expired) {
                restartAt(expired.firstRetained());
                continue;
            }
            ReadResult.Read read = (ReadResult.Read) result;
            boolean restarted = replay(read.records());
            if (restarted) {
                continue;
            }
            nextOffset = Math.max(nextOffset, read.nextOffset());
            if (read.atTail()) {
                return beforeSnapshot == null
                        ? new Progress.AtTail()
                        : new Progress.Unavailable("the log keeps neither its first record nor a snapshot; wait until a"
                                + " companion writes one");
            }
            batchWaitMs = 0;
        }
    }

    /** Describes a response that contradicts its request, which would make reading loop or skip records. */
    private Optional<String> fault(ReadResult result) {
        if (result instanceof ReadResult.Expired expired) {
            return expired.firstRetained() > nextOffset
                    ? Optional.empty()
                    : Optional.of("the log says that offset " + nextOffset + " has expired, but names "
                            + expired.firstRetained() + " as its first record");
        }
        ReadResult.Read read = (ReadResult.Read) result;
        if (read.records().isEmpty()) {
            return read.atTail() ? Optional.empty() : Optional.of("the log answered with neither records nor its tail");
        }
        long first = read.records().get(0).offset();
        return first == nextOffset
                ? Optional.empty()
                : Optional.of("the log answered a read from offset " + nextOffset + " with offset " + first);
    }

    private void restartAt(long offset) {
        firstRetainedOffset = offset;
        nextOffset = offset;
        beforeSnapshot = new ArrayList<>();
    }

    /** Replays records. Returns true when reading goes back to the records that follow a snapshot's state. */
    private boolean replay(List<StoredRecord> records) {
        for (StoredRecord stored : records) {
            if (beforeSnapshot == null) {
                apply(stored);
                continue;
            }
            LogEntry entry = decode(stored);
            if (entry.record() instanceof LogRecord.Snapshot snapshot
                    && snapshot.throughOffset() + 1 >= firstRetainedOffset) {
                startFrom(snapshot);
                return true;
            }
            beforeSnapshot.add(stored);
        }
        return false;
    }

    private void startFrom(LogRecord.Snapshot snapshot) {
        for (StoredRecord stored : beforeSnapshot) {
            if (stored.offset() <= snapshot.throughOffset()) {
                publish(new ReplayedRecord(decode(stored), stored.timeMs(), ClusterState.EMPTY, Optional.empty()));
            }
        }
        beforeSnapshot = null;
        state = ClusterState.of(snapshot.state());
        nextOffset = state.appliedOffset() + 1;
    }

    private void apply(StoredRecord stored) {
        LogEntry entry = decode(stored);
        Replay.Step step = Replay.apply(state, entry);
        ReplayedRecord replayed = new ReplayedRecord(entry, stored.timeMs(), state, Optional.of(step.outcome()));
        state = step.state();
        nextOffset = entry.offset() + 1;
        publish(replayed);
    }

    private void publish(ReplayedRecord replayed) {
        visitors.forEach(visitor -> visitor.visit(replayed));
    }

    /** A payload that cannot be decoded has no effect on any process; it is listed in the audit trail. */
    private static LogEntry decode(StoredRecord stored) {
        Decoded<LogEntry> decoded = LogCodec.decode(
                stored.offset(), stored.operationId(), stored.payload().toArray());
        if (decoded instanceof Decoded.Ok<LogEntry> ok) {
            return ok.value();
        }
        String reason = ((Decoded.Malformed<LogEntry>) decoded).reason();
        AuditEntry malformed = new AuditEntry("unknown", "malformed record", "", "", reason);
        return new LogEntry(stored.offset(), stored.operationId(), new LogRecord.Audited(malformed));
    }
}
