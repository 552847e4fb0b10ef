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

/** Orders records that arrive from the log and from other companions, and passes records on to those behind. */
public final class RecordRelay {
    private static final int KEPT_RECORDS = 4_096;
    private static final int WAITING_RECORDS = 50_000;
    private static final int RECORDS_PER_MESSAGE = 128;
    private static final long FETCH_INTERVAL_NS = 100_000_000L;
    /** A healthy log delivers records within this time, so that a companion only then asks another one. */
    private static final long RELAY_DELAY_NS = 500_000_000L;

    private final ControlContext context;
    private final TreeMap<Long, LogEntry> kept = new TreeMap<>();
    private final TreeMap<Long, LogEntry> waiting = new TreeMap<>();
    private Incarnation ahead;
    private long aheadOffset = -1;
    private long behindSinceNs;
    private long nextFetchNs = Long.MIN_VALUE;

    public RecordRelay(ControlContext context) {
        this.context = context;
    }

    /** Takes records in any order. */
    void accept(List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            if (entry.offset() > context.state().appliedOffset()) {
                waiting.put(entry.offset(), entry);
            }
        }
        while (waiting.size() > WAITING_RECORDS) {
            waiting.pollLastEntry();
        }
    }

    /** Returns the record that follows the applied offset, or null. */
    LogEntry next() {
        long wanted = context.state().appliedOffset() + 1;
        while (!waiting.isEmpty() && waiting.firstKey() < wanted) {
            waiting.pollFirstEntry();
        }
        if (waiting.isEmpty() || waiting.firstKey() > wanted) {
            return null;
        }
        LogEntry entry = waiting.pollFirstEntry().getValue();
        kept.put(entry.offset(), entry);
        if (kept.size() > KEPT_RECORDS) {
            kept.pollFirstEntry();
        }
        return entry;
    }

    /** Returns the state of a waiting snapshot that bridges records which are missing, or null. */
    ClusterState snapshot() {
        if (waiting.isEmpty() || waiting.firstKey() <= context.state().appliedOffset() + 1) {
            return null;
        }
        for (Map.Entry<Long, LogEntry> each : waiting.descendingMap().entrySet()) {
            if (!(each.getValue().record() instanceof LogRecord.Snapshot)) {
                continue;
            }
            LogRecord.Snapshot snapshot = (LogRecord.Snapshot) each.getValue().record();
            long through = snapshot.throughOffset();
            boolean whole = through < each.getKey()
                    && waiting.subMap(through + 1, each.getKey() + 1).size() == each.getKey() - through;
            if (through > context.state().appliedOffset() && whole) {
                return ClusterState.of(snapshot.state());
            }
        }
        return null;
    }

    /** Whether records between the applied ones and known later ones are missing. */
    boolean hasGap() {
        return !waiting.isEmpty();
    }

    /** A companion reported its applied offset. */
    void heard(Incarnation from, long appliedOffset) {
        if (appliedOffset <= context.state().appliedOffset()) {
            return;
        }
        if (aheadOffset <= context.state().appliedOffset()) {
            behindSinceNs = context.nowNs();
        }
        if (appliedOffset >= aheadOffset) {
            ahead = from;
            aheadOffset = appliedOffset;
        }
    }

    /** Fetches records at once from a companion that is known to have them. */
    public void catchUp(Incarnation from, long offset) {
        heard(from, offset);
        catchUp(offset);
    }

    /** Fetches records at once up to an offset that something waits for. */
    public void catchUp(long offset) {
        if (ahead != null && context.state().appliedOffset() < offset) {
            fetch();
        }
    }

    void tick() {
        if (ahead != null
                && aheadOffset > context.state().appliedOffset()
                && context.nowNs() - behindSinceNs >= RELAY_DELAY_NS) {
            fetch();
        }
    }

    void onFetch(PeerMessage.FetchRecords request) {
        List<LogEntry> entries = new ArrayList<>();
        long expected = request.fromOffset();
        if (!kept.containsKey(expected)) {
            expected = newestSnapshotStart();
        }
        for (Map.Entry<Long, LogEntry> each : kept.tailMap(expected).entrySet()) {
            if (entries.size() == RECORDS_PER_MESSAGE || each.getKey() != expected) {
                break;
            }
            entries.add(each.getValue());
            expected++;
        }
        if (!entries.isEmpty()) {
            context.send(request.from(), new PeerMessage.Records(context.self(), entries));
        }
    }

    /** Offset behind the newest kept snapshot, from which a companion that is far behind can follow. */
    private long newestSnapshotStart() {
        for (LogEntry entry : kept.descendingMap().values()) {
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
        context.report(ControlNotice.CATCH_UP_STARTED, "from offset " + from + " at " + ahead);
        context.send(ahead, new PeerMessage.FetchRecords(context.self(), from));
    }
}
