package org.siskintiller.node.log;

import java.util.ArrayList;
import java.util.List;

import org.siskintiller.core.model.AuditEntry;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.logclient.ReadResult;
import org.siskintiller.logclient.StoredRecord;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.wire.Decoded;
import org.siskintiller.wire.LogCodec;

/** Tails the control stream by long poll on a thread of its own. */
public final class ControlStreamReader implements Runnable {
    public static final String STREAM = "control";

    private static final int MAX_RECORDS = 500;
    private static final long WAIT_MS = 2000;
    private static final long RETRY_MS = 100;

    private final LogClient client;
    private final Target target;
    private volatile boolean stopped;
    private volatile boolean available = true;
    private long next;

    public ControlStreamReader(LogClient client, Target target) {
        this.client = client;
        this.target = target;
    }

    /** Receives records in order. Returns only when they are applied, so that reading keeps pace with replay. */
    public interface Target {

        void apply(List<LogEntry> entries, boolean atTail) throws InterruptedException;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                step(client.read(STREAM, next, MAX_RECORDS, WAIT_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void step(ReadResult result) throws InterruptedException {
        if (stopped) {
            return;
        }
        if (result instanceof ReadResult.Read read) {
            setAvailable(true, "offset " + next);
            target.apply(decode(read.records()), read.atTail());
            next = read.nextOffset();
        } else if (result instanceof ReadResult.Expired expired) {
            EventLog.log(LogEvent.LOG_EXPIRED, "offset " + next + ", first retained " + expired.firstRetained());
            next = expired.firstRetained();
        } else if (result instanceof ReadResult.Unavailable unavailable) {
            setAvailable(false, unavailable.reason());
            Thread.sleep(RETRY_MS);
        }
    }

    /** Replay needs every offset, so a record that cannot be decoded is replaced and not left out. */
    private static LogRecord withoutEffect() {
        return new LogRecord.Audited(new AuditEntry("", "malformed record", "", "", "ignored"));
    }

    static List<LogEntry> decode(List<StoredRecord> records) {
        List<LogEntry> entries = new ArrayList<>(records.size());
        for (StoredRecord record : records) {
            Decoded<LogEntry> decoded = LogCodec.decode(
                    record.offset(), record.operationId(), record.payload().toArray());
            if (decoded instanceof Decoded.Ok<LogEntry> ok) {
                entries.add(ok.value());
            } else if (decoded instanceof Decoded.Malformed<LogEntry> bad) {
                EventLog.log(LogEvent.LOG_MALFORMED, "offset " + record.offset() + ": " + bad.reason());
                entries.add(new LogEntry(record.offset(), record.operationId(), withoutEffect()));
            }
        }
        return entries;
    }

    private void setAvailable(boolean now, String detail) {
        if (now != available) {
            available = now;
            EventLog.log(now ? LogEvent.LOG_AVAILABLE : LogEvent.LOG_UNAVAILABLE, detail);
        }
    }

    public boolean available() {
        return available;
    }

    public void stop() {
        stopped = true;
    }
}
