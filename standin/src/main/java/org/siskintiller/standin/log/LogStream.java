package org.siskintiller.standin.log;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.siskintiller.wire.proto.Proto;

/** One named stream in memory. Its monitor guards all of its state. */
final class LogStream {
    /** Long polls wake up this often to see a change of the faults. */
    private static final long POLL_STEP_MS = 50;

    private final Retention retention;

    /** Records from the index head on are retained. */
    private final List<Record> records = new ArrayList<>();

    private int head;
    private long nextOffset;

    LogStream(Retention retention) {
        this.retention = retention;
    }

    /** Limits of what a stream keeps; 0 is no limit. */
    record Retention(long ms, int records) {}

    /** Records from an offset, or none with the offset of the oldest record when they have expired. */
    record Slice(List<Record> records, long firstRetained, long nextOffset, boolean atTail, boolean expired) {}

    /** One stored record. */
    record Record(long offset, Proto.OperationId operationId, long timeMs, ByteString payload) {}

    /** Tells a long poll to end before its time. */
    interface Interruption {
        boolean isDue();
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
        long leftMs = waitMs;
        while (from >= nextOffset && leftMs > 0 && !interruption.isDue()) {
            wait(Math.min(leftMs, POLL_STEP_MS));
            leftMs = (deadlineNs - System.nanoTime()) / 1_000_000;
        }
        expire(System.currentTimeMillis());
        return slice(from, max);
    }

    synchronized long firstRetained() {
        return nextOffset - (records.size() - head);
    }

    synchronized long nextOffset() {
        return nextOffset;
    }

    private Slice slice(long from, int max) {
        long first = firstRetained();
        if (from < first) {
            return new Slice(List.of(), first, from, false, true);
        }
        int start = (int) Math.min(records.size(), head + (from - first));
        int end = Math.min(records.size(), start + max);
        List<Record> result = List.copyOf(records.subList(start, end));
        long next = from + result.size();
        return new Slice(result, first, next, next >= nextOffset, false);
    }

    private void expire(long wallMs) {
        while (head < records.size() && isExpired(records.get(head), wallMs)) {
            head++;
        }
        // Removing expired records one by one would copy the rest of the list each time.
        if (head > records.size() / 2) {
            records.subList(0, head).clear();
            head = 0;
        }
    }

    private boolean isExpired(Record oldest, long wallMs) {
        boolean tooMany = retention.records() > 0 && records.size() - head > retention.records();
        boolean tooOld = retention.ms() > 0 && wallMs - oldest.timeMs() > retention.ms();
        return tooMany || tooOld;
    }
}
