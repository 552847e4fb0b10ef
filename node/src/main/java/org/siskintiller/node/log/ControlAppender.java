package org.siskintiller.node.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;

import org.siskintiller.core.control.ControlAction;
import org.siskintiller.core.control.ControlEvent;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.logclient.AppendResult;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.logclient.PendingRecord;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.wire.LogCodec;

/** Appends records to the control stream in batches, on its own thread. */
public final class ControlAppender implements Runnable {
    private static final int QUEUE_LIMIT = 4096;
    private static final int MAX_BATCH_RECORDS = 200;
    /** Bounds one append well below the size that the log service accepts. A larger record is appended alone. */
    private static final int MAX_BATCH_BYTES = 1024 * 1024;

    private final LogClient client;
    private final Consumer<ControlEvent> results;
    private final BlockingQueue<PendingRecord> queue = new ArrayBlockingQueue<>(QUEUE_LIMIT);
    private PendingRecord firstOfNextBatch;

    public ControlAppender(LogClient client, Consumer<ControlEvent> results) {
        this.client = client;
        this.results = results;
    }

    /** Queues a record. When the queue is full, the append is reported as uncertain and the core retries it later. */
    public void append(ControlAction.Append append) {
        PendingRecord record = new PendingRecord(append.operationId(), Bytes.copyOf(LogCodec.encode(append.record())));
        if (!queue.offer(record)) {
            EventLog.log(LogEvent.LOG_QUEUE_FULL, "operation " + append.operationId());
            results.accept(new ControlEvent.AppendUncertain(append.operationId()));
        }
    }

    @Override
    public void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                List<PendingRecord> batch = nextBatch();
                report(batch, client.append(ControlStreamReader.STREAM, batch));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private List<PendingRecord> nextBatch() throws InterruptedException {
        List<PendingRecord> batch = new ArrayList<>();
        PendingRecord record = firstOfNextBatch == null ? queue.take() : firstOfNextBatch;
        firstOfNextBatch = null;
        int bytes = 0;
        while (record != null) {
            bytes += record.payload().size();
            if (!batch.isEmpty() && bytes > MAX_BATCH_BYTES) {
                firstOfNextBatch = record;
                return batch;
            }
            batch.add(record);
            record = batch.size() < MAX_BATCH_RECORDS ? queue.poll() : null;
        }
        return batch;
    }

    private void report(List<PendingRecord> batch, AppendResult result) {
        if (result instanceof AppendResult.Stored stored) {
            long offset = stored.firstOffset();
            for (PendingRecord record : batch) {
                results.accept(new ControlEvent.AppendStored(record.operationId(), offset++));
            }
            return;
        }
        if (Thread.currentThread().isInterrupted()) {
            // The incarnation has ended; its records may still take effect, but their results are no longer needed.
            return;
        }
        EventLog.log(LogEvent.LOG_APPEND_UNCERTAIN, batch.size() + " records: " + result);
        for (PendingRecord record : batch) {
            results.accept(new ControlEvent.AppendUncertain(record.operationId()));
        }
    }
}
