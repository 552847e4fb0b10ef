package org.siskintiller.node.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.siskintiller.core.gate.GateDecision;
import org.siskintiller.core.gate.GateEvent;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.core.model.RequestRecord;
import org.siskintiller.logclient.AppendResult;
import org.siskintiller.logclient.LogClient;
import org.siskintiller.logclient.PendingRecord;
import org.siskintiller.logclient.ReadResult;
import org.siskintiller.logclient.StoredRecord;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.wire.Decoded;
import org.siskintiller.wire.RequestRecordCodec;

/** Appends request records to the requests stream with group commit, and reads the stream after a takeover. */
public final class RequestsStream implements AutoCloseable {
    private static final String STREAM = "requests";
    /** One append every 20 ms keeps a companion within its part of the append budget. */
    private static final long GROUP_COMMIT_INTERVAL_MS = 20;

    private static final int QUEUE_LIMIT = 4096;
    private static final int MAX_DRAINED_PER_GROUP = 256;
    private static final int MAX_RECORDS_PER_READ = 500;
    private static final long READ_RETRY_DELAY_MS = 200;

    private final LogClient client;
    private final Supplier<OperationId> operationIds;
    private final Consumer<GateEvent> gate;
    private final String service;
    private final BlockingQueue<GateDecision.StoreInLog> queue = new ArrayBlockingQueue<>(QUEUE_LIMIT);
    private final ExecutorService writer;
    private final ExecutorService reader;

    public RequestsStream(
            LogClient client,
            Supplier<OperationId> operationIds,
            Consumer<GateEvent> gate,
            String service,
            ThreadFactory threads) {
        this.client = client;
        this.operationIds = operationIds;
        this.gate = gate;
        this.service = service;
        this.writer = Executors.newSingleThreadExecutor(threads);
        this.reader = Executors.newSingleThreadExecutor(threads);
        writer.execute(this::appendGroups);
    }

    /** Queues records; the gate receives the result as an event. */
    public void store(GateDecision.StoreInLog store) {
        if (!queue.offer(store)) {
            EventLog.log(LogEvent.LOG_QUEUE_FULL, "request records " + store.sequence());
            // Reported on another thread, since the gate's driver calls this method while it executes decisions.
            reader.execute(() -> gate.accept(new GateEvent.RecordsNotStored(store.sequence())));
        }
    }

    /** Reads the stream to its tail and passes the records of the service to the gate. */
    public void readToTail() {
        reader.execute(this::read);
    }

    private void appendGroups() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                List<GateDecision.StoreInLog> group = new ArrayList<>();
                group.add(queue.take());
                Thread.sleep(GROUP_COMMIT_INTERVAL_MS);
                queue.drainTo(group, MAX_DRAINED_PER_GROUP);
                commit(group);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void commit(List<GateDecision.StoreInLog> group) {
        List<PendingRecord> records = new ArrayList<>();
        for (GateDecision.StoreInLog store : group) {
            for (RequestRecord record : store.records()) {
                records.add(new PendingRecord(operationIds.get(), Bytes.copyOf(RequestRecordCodec.encode(record))));
            }
        }
        AppendResult result =
                records.isEmpty() ? new AppendResult.Stored(0) : client.append(STREAM, List.copyOf(records));
        boolean stored = result instanceof AppendResult.Stored;
        if (!stored) {
            EventLog.log(LogEvent.LOG_APPEND_UNCERTAIN, records.size() + " request records: " + result);
        }
        for (GateDecision.StoreInLog store : group) {
            gate.accept(
                    stored
                            ? new GateEvent.RecordsStored(store.sequence())
                            : new GateEvent.RecordsNotStored(store.sequence()));
        }
    }

    private void read() {
        long nextOffset = 0;
        try {
            while (true) {
                ReadResult result = client.read(STREAM, nextOffset, MAX_RECORDS_PER_READ, 0);
                if (result instanceof ReadResult.Read read) {
                    passToGate(read.records());
                    nextOffset = read.nextOffset();
                    if (read.atTail()) {
                        gate.accept(new GateEvent.RequestsStreamRead());
                        return;
                    }
                } else if (result instanceof ReadResult.Expired expired) {
                    nextOffset = expired.firstRetained();
                } else {
                    Thread.sleep(READ_RETRY_DELAY_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void passToGate(List<StoredRecord> stored) {
        List<RequestRecord> records = new ArrayList<>();
        for (StoredRecord record : stored) {
            Decoded<RequestRecord> decoded =
                    RequestRecordCodec.decode(record.payload().toArray());
            if (decoded instanceof Decoded.Ok<RequestRecord> ok) {
                if (ok.value().slot().service().equals(service)) {
                    records.add(ok.value());
                }
            } else {
                EventLog.log(LogEvent.LOG_MALFORMED, STREAM + " offset " + record.offset());
            }
        }
        if (!records.isEmpty()) {
            gate.accept(new GateEvent.RecordsReceived(false, records));
        }
    }

    @Override
    public void close() {
        writer.shutdownNow();
        reader.shutdownNow();
    }
}
