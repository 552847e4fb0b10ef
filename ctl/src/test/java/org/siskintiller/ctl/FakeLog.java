package org.siskintiller.ctl;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.logclient.AppendResult;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.logclient.PendingRecord;
import org.siskintiller.logclient.ReadResult;
import org.siskintiller.logclient.StoredRecord;
import org.siskintiller.wire.Decoded;
import org.siskintiller.wire.LogCodec;

/** In-memory log with scripted faults and simulated time. */
final class FakeLog implements LogClient, TimeSource {
    /** How the log treats one append of the tool. */
    enum AppendBehaviour {
        STORE,
        STORE_WITHOUT_RESPONSE,
        STORE_LATER_WITHOUT_RESPONSE,
        LOSE,
        REFUSE
    }

    private final List<StoredRecord> records = new ArrayList<>();
    private final Deque<AppendBehaviour> appendBehaviours = new ArrayDeque<>();
    private final Deque<Runnable> beforeAppends = new ArrayDeque<>();
    private final List<PendingRecord> late = new ArrayList<>();
    private Runnable onWait = () -> {};
    private long firstRetained;
    private long nowMs;
    private long nextId = 1_000;
    private boolean down;
    private boolean downAfterAppend;

    /** Appends as another process would, without faults. Returns the offset. */
    long add(LogRecord record) {
        return store(new PendingRecord(new OperationId(0, nextId++), Bytes.copyOf(LogCodec.encode(record))));
    }

    void addMalformed() {
        store(new PendingRecord(new OperationId(0, nextId++), Bytes.copyOf(new byte[] {(byte) 0xff, 1})));
    }

    void nextAppends(AppendBehaviour... next) {
        appendBehaviours.addAll(List.of(next));
    }

    void beforeNextAppend(Runnable action) {
        beforeAppends.add(action);
    }

    void onWait(Runnable action) {
        onWait = action;
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    void setDownAfterAppend() {
        downAfterAppend = true;
    }

    void expireBefore(long offset) {
        firstRetained = offset;
    }

    int size() {
        return records.size();
    }

    LogRecord record(int offset) {
        byte[] payload = records.get(offset).payload().toArray();
        return ((Decoded.Ok<LogRecord>) LogCodec.decode(payload)).value();
    }

    @Override
    public AppendResult append(String stream, List<PendingRecord> batch) {
        if (!beforeAppends.isEmpty()) {
            beforeAppends.remove().run();
        }
        AppendBehaviour behaviour = appendBehaviours.isEmpty() ? AppendBehaviour.STORE : appendBehaviours.remove();
        down = down || downAfterAppend;
        switch (behaviour) {
            case STORE:
                return new AppendResult.Stored(store(batch.get(0)));
            case STORE_WITHOUT_RESPONSE:
                store(batch.get(0));
                return new AppendResult.Uncertain("response lost");
            case STORE_LATER_WITHOUT_RESPONSE:
                late.add(batch.get(0));
                return new AppendResult.Uncertain("response lost");
            case LOSE:
                return new AppendResult.Uncertain("response lost");
            default:
                return new AppendResult.Refused("too many appends");
        }
    }

    @Override
    public ReadResult read(String stream, long from, int max, long waitMs) {
        if (down) {
            return new ReadResult.Unavailable("connection refused");
        }
        if (from < firstRetained) {
            return new ReadResult.Expired(firstRetained);
        }
        if (waitMs > 0 && from >= records.size()) {
            sleepMs(waitMs);
        }
        int end = (int) Math.min(records.size(), from + max);
        List<StoredRecord> part = from >= end ? List.of() : records.subList((int) from, end);
        return new ReadResult.Read(part, Math.max(from, end), end == records.size());
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public void sleepMs(long ms) {
        nowMs += ms;
        late.forEach(this::store);
        late.clear();
        onWait.run();
    }

    private long store(PendingRecord pending) {
        long offset = records.size();
        records.add(new StoredRecord(offset, pending.operationId(), 1_000 * offset, pending.payload()));
        return offset;
    }
}
