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

/** Follows the control stream by long polling, on its own thread. */
public final class ControlStreamReader implements Runnable {
    public static final String STREAM = "control";

    private static final int MAX_RECORDS_PER_READ = 500;
    private static final long LONG_POLL_MS = 2000;
    private static final long RETRY_DELAY_MS = 100;

    private final LogClient client;
    private final Target target;
    private volatile boolean stopped;
    private volatile boolean available = true;
    private long nextOffset;

    public ControlStreamReader(LogClient client, Target target) {
        this.client = client;
        this.target = target;
    }

    /** Receives records in order. apply returns only when they are applied, so that reading is no faster than replay. */
    public interface Target {

        void apply(List<LogEntry> entries, boolean atTail) throws InterruptedException;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                process(client.read(STREAM, nextOffset, MAX_RECORDS_PER_READ, LONG_POLL_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void process(ReadResult result) throws InterruptedException {
        if (stopped) {
            return;
        }
        if (result instanceof ReadResult.Read read) {
            setAvailable(true, "offset " + nextOffset);
            target.apply(decode(read.records()), read.atTail());
            nextOffset = read.nextOffset();
        } else if (result instanceof ReadResult.Expired expired) {
            EventLog.log(LogEvent.LOG_EXPIRED, "offset " + nextOffset + ", first retained " + expired.firstRetained());
            nextOffset = expired.firstRetained();
        } else if (result instanceof ReadResult.Unavailable unavailable) {
            setAvailable(false, unavailable.reason());
            Thread.sleep(RETRY_DELAY_MS);
        }
    }

    /** Returns the replacement of a record that cannot be decoded, since replay needs a record at every offset. */
    private static LogRecord placeholder() {
        return new LogRecord.Audited(new AuditEntry("", "malformed record", "", "", "ignored"));
    }

    static List<LogEntry> decode(List<StoredRecord> records) {
        List<LogEntry> entries = new ArrayList<>(records.size());
        for (StoredRecord record : records) {
            Decoded<LogEntry> decoded = LogCodec.decode(
                    record.offset(), record.operationId(), record.payload().toArray());
            if (decoded instanceof Decoded.Ok<LogEntry> ok) {
                entries.add(ok.value());
            } else if (decoded instanceof Decoded.Malformed<LogEntry> malformed) {
                EventLog.log(LogEvent.LOG_MALFORMED, "offset " + record.offset() + ": " + malformed.reason());
                entries.add(new LogEntry(record.offset(), record.operationId(), placeholder()));
            }
        }
        return entries;
    }

    private void setAvailable(boolean newAvailable, String detail) {
        if (newAvailable != available) {
            available = newAvailable;
            EventLog.log(newAvailable ? LogEvent.LOG_AVAILABLE : LogEvent.LOG_UNAVAILABLE, detail);
        }
    }

    public boolean available() {
        return available;
    }

    public void stop() {
        stopped = true;
    }
}
