package org.siskintiller.standin.log;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.siskintiller.wire.proto.Proto;

/** In-memory log stream. Its monitor guards its state. */
final class LogStream {
    /** Interval at which a long poll checks its interruption. */
    private static final long INTERRUPTION_CHECK_INTERVAL_MS = 50;

    private final Retention retention;

    /** Records from index {@link #firstRetainedIndex} on are retained, earlier ones have expired. */
    private final List<Record> records = new ArrayList<>();

    private int firstRetainedIndex;
    private long nextOffset;

    LogStream(Retention retention) {
        this.retention = retention;
    }

    /** Limits of the retained records; 0 is unlimited. */
    record Retention(long maxAgeMs, int maxRecords) {}

    /** Result of a read: records from the requested offset, or none and the oldest offset if they have expired. */
    record Slice(List<Record> records, long firstRetained, long nextOffset, boolean atTail, boolean expired) {}

    /** Stored record. */
    record Record(long offset, Proto.OperationId operationId, long timeMs, ByteString payload) {}

    /** Condition on which a long poll ends before its wait time. */
    interface Interruption {
        boolean isRequested();
    }

    synchronized long append(List<Proto.AppendRequest.Item> items, long wallMs) {
        long first = nextOffset;
        for (Proto.AppendRequest.Item item : items) {
            records.add(new Record(nextOffset, item.getOperationId(), wallMs, item.getPayload()));
            nextOffset++;
        }
        expire(wallMs);
        notifyAll();
        return first;
    }

    synchronized Slice read(long from, int max, long waitMs, Interruption interruption) throws InterruptedException {
        long deadlineNs = System.nanoTime() + waitMs * 1_000_000;
        long remainingMs = waitMs;
        while (from >= nextOffset && remainingMs > 0 && !interruption.isRequested()) {
            wait(Math.min(remainingMs, INTERRUPTION_CHECK_INTERVAL_MS));
            remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
        }
        expire(System.currentTimeMillis());
        return slice(from, max);
    }

    synchronized long firstRetained() {
        return nextOffset - (records.size() - firstRetainedIndex);
    }

    synchronized long nextOffset() {
        return nextOffset;
    }

    private Slice slice(long from, int max) {
        long first = firstRetained();
        if (from < first) {
            return new Slice(List.of(), first, from, false, true);
        }
        int start = (int) Math.min(records.size(), firstRetainedIndex + (from - first));
        int end = Math.min(records.size(), start + max);
        List<Record> result = List.copyOf(records.subList(start, end));
        long next = from + result.size();
        return new Slice(result, first, next, next >= nextOffset, false);
    }

    private void expire(long wallMs) {
        while (firstRetainedIndex < records.size() && isExpired(records.get(firstRetainedIndex), wallMs)) {
            firstRetainedIndex++;
        }
        // Expired records are removed in bulk, since each removal copies the rest of the list.
        if (firstRetainedIndex > records.size() / 2) {
            records.subList(0, firstRetainedIndex).clear();
            firstRetainedIndex = 0;
        }
    }

    private boolean isExpired(Record oldest, long wallMs) {
        boolean tooMany = retention.maxRecords() > 0 && records.size() - firstRetainedIndex > retention.maxRecords();
        boolean tooOld = retention.maxAgeMs() > 0 && wallMs - oldest.timeMs() > retention.maxAgeMs();
        return tooMany || tooOld;
    }
}
