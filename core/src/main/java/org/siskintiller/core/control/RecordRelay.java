package org.siskintiller.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.replay.ClusterState;

/**
 * Orders records that are received from the log and from other companions, and sends records to companions that have
 * applied fewer.
 */
public final class RecordRelay {
    private static final int MAX_RETAINED_RECORDS = 4_096;
    private static final int MAX_WAITING_RECORDS = 50_000;
    private static final int MAX_RECORDS_PER_MESSAGE = 128;
    private static final long FETCH_INTERVAL_NS = 100_000_000L;
    /** A healthy log delivers records within this time, so a companion fetches them from another one only after it. */
    private static final long RELAY_DELAY_NS = 500_000_000L;

    private final ControlContext context;
    private final TreeMap<Long, LogEntry> retained = new TreeMap<>();
    private final TreeMap<Long, LogEntry> waiting = new TreeMap<>();
    private Incarnation mostAdvanced;
    private long mostAdvancedOffset = -1;
    private long behindSinceNs;
    private long nextFetchNs = Long.MIN_VALUE;

    public RecordRelay(ControlContext context) {
        this.context = context;
    }

    /** Accepts records in any order. */
    void accept(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (entry.offset() > context.state().appliedOffset()) {
                waiting.put(entry.offset(), entry);
            }
        }
        while (waiting.size() > MAX_WAITING_RECORDS) {
            waiting.pollLastEntry();
        }
    }

    /** Returns the record that follows the applied offset, or null. */
    LogEntry next() {
        long nextOffset = context.state().appliedOffset() + 1;
        while (!waiting.isEmpty() && waiting.firstKey() < nextOffset) {
            waiting.pollFirstEntry();
        }
        if (waiting.isEmpty() || waiting.firstKey() > nextOffset) {
            return null;
        }
        LogEntry entry = waiting.pollFirstEntry().getValue();
        retained.put(entry.offset(), entry);
        if (retained.size() > MAX_RETAINED_RECORDS) {
            retained.pollFirstEntry();
        }
        return entry;
    }

    /** Returns the state of a waiting snapshot that replaces missing records, or null. */
    ClusterState snapshot() {
        if (waiting.isEmpty() || waiting.firstKey() <= context.state().appliedOffset() + 1) {
            return null;
        }
        for (Map.Entry<Long, LogEntry> candidate : waiting.descendingMap().entrySet()) {
            if (!(candidate.getValue().record() instanceof LogRecord.Snapshot)) {
                continue;
            }
            LogRecord.Snapshot snapshot =
                    (LogRecord.Snapshot) candidate.getValue().record();
            long through = snapshot.throughOffset();
            boolean complete = through < candidate.getKey()
                    && waiting.subMap(through + 1, candidate.getKey() + 1).size() == candidate.getKey() - through;
            if (through > context.state().appliedOffset() && complete) {
                return ClusterState.of(snapshot.state());
            }
        }
        return null;
    }

    /** Whether records are missing between the applied ones and later ones that were received. */
    boolean hasGap() {
        return !waiting.isEmpty();
    }

    /** A companion reported its applied offset. */
    void onAppliedOffset(Incarnation from, long appliedOffset) {
        if (appliedOffset <= context.state().appliedOffset()) {
            return;
        }
        if (mostAdvancedOffset <= context.state().appliedOffset()) {
            behindSinceNs = context.nowNs();
        }
        if (appliedOffset >= mostAdvancedOffset) {
            mostAdvanced = from;
            mostAdvancedOffset = appliedOffset;
        }
    }

    /** Fetches records immediately from a companion that has applied them. */
    public void catchUp(Incarnation from, long offset) {
        onAppliedOffset(from, offset);
        catchUp(offset);
    }

    /** Fetches records immediately if the state is behind an offset that is needed now. */
    public void catchUp(long offset) {
        if (mostAdvanced != null && context.state().appliedOffset() < offset) {
            fetch();
        }
    }

    void tick() {
        if (mostAdvanced != null
                && mostAdvancedOffset > context.state().appliedOffset()
                && context.nowNs() - behindSinceNs >= RELAY_DELAY_NS) {
            fetch();
        }
    }

    void onFetch(PeerMessage.FetchRecords request) {
        List<LogEntry> entries = new ArrayList<>();
        long expected = request.fromOffset();
        if (!retained.containsKey(expected)) {
            expected = newestSnapshotStart();
        }
        for (Map.Entry<Long, LogEntry> entry : retained.tailMap(expected).entrySet()) {
            if (entries.size() == MAX_RECORDS_PER_MESSAGE || entry.getKey() != expected) {
                break;
            }
            entries.add(entry.getValue());
            expected++;
        }
        if (!entries.isEmpty()) {
            context.send(request.from(), new PeerMessage.Records(context.self(), entries));
        }
    }

    /** Offset after the records that the newest retained snapshot replaces; a companion far behind starts there. */
    private long newestSnapshotStart() {
        for (LogEntry entry : retained.descendingMap().values()) {
            if (entry.record() instanceof LogRecord.Snapshot) {
                return ((LogRecord.Snapshot) entry.record()).throughOffset() + 1;
            }
        }
        return Long.MAX_VALUE;
    }

    private void fetch() {
        if (context.nowNs() < nextFetchNs) {
            return;
        }
        nextFetchNs = context.nowNs() + FETCH_INTERVAL_NS;
        long from = context.state().appliedOffset() + 1;
        context.report(ControlNotice.CATCH_UP_STARTED, "from offset " + from + " at " + mostAdvanced);
        context.send(mostAdvanced, new PeerMessage.FetchRecords(context.self(), from));
    }
}
