package org.siskintiller.node.runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.logclient.AppendResult;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.logclient.PendingRecord;
import org.siskintiller.logclient.ReadResult;
import org.siskintiller.logclient.StoredRecord;
import org.siskintiller.wire.LogCodec;

/** In-memory log service. */
final class MemoryLog implements LogClient {
    private final Map<String, List<StoredRecord>> streams = new HashMap<>();
    private boolean down;

    synchronized void setDown(boolean value) {
        down = value;
    }

    synchronized int size(String stream) {
        return streams.getOrDefault(stream, List.of()).size();
    }

    void publish(LogRecord record) {
        append("control", List.of(new PendingRecord(Ids.operationId(), Bytes.copyOf(LogCodec.encode(record)))));
    }

    @Override
    public synchronized AppendResult append(String stream, List<PendingRecord> records) {
        if (down) {
            return new AppendResult.Uncertain("down");
        }
        List<StoredRecord> stored = streams.computeIfAbsent(stream, ignored -> new ArrayList<>());
        long first = stored.size();
        for (PendingRecord record : records) {
            stored.add(new StoredRecord(stored.size(), record.operationId(), 0, record.payload()));
        }
        notifyAll();
        return new AppendResult.Stored(first);
    }

    @Override
    public synchronized ReadResult read(String stream, long from, int max, long waitMs) {
        List<StoredRecord> stored = streams.computeIfAbsent(stream, ignored -> new ArrayList<>());
        if (!down && stored.size() <= from && waitMs > 0) {
            try {
                wait(Math.min(waitMs, 100));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (down) {
            return new ReadResult.Unavailable("down");
        }
        int end = (int) Math.min(stored.size(), from + max);
        List<StoredRecord> read = from >= end ? List.of() : List.copyOf(stored.subList((int) from, end));
        return new ReadResult.Read(read, from + read.size(), end == stored.size());
    }
}
