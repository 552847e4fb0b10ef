package org.siskintiller.standin.log;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.InvalidProtocolBufferException;
import com.sun.net.httpserver.HttpExchange;
import org.siskintiller.core.model.Address;
import org.siskintiller.standin.http.HttpBodies;
import org.siskintiller.standin.http.StandinHttpServer;
import org.siskintiller.wire.proto.Proto;

/** In-memory log service with fault injection. */
public final class LogServer implements AutoCloseable {
    private static final String CONTENT_TYPE = "application/x-protobuf";
    private static final Pattern RECORDS_PATH = Pattern.compile("/streams/([A-Za-z0-9_.-]{1,64})/records");
    private static final int GONE = 410;
    private static final int TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long MAX_WAIT_MS = 60_000;
    private static final int MAX_READ_RECORDS = 10_000;

    private final LogServerSettings settings;
    private final Random random;
    private final RateLimit rateLimit;
    private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
    private final AtomicLong appends = new AtomicLong();
    private final AtomicLong records = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong rateLimited = new AtomicLong();
    private final AtomicLong lostResponses = new AtomicLong();
    private final ScheduledExecutorService lateAppendExecutor = Executors.newSingleThreadScheduledExecutor(runnable -> {
        Thread thread = new Thread(runnable, "late-appends");
        thread.setDaemon(true);
        return thread;
    });
    private final StandinHttpServer http;
    private volatile LogFaults faults = LogFaults.NONE;

    public LogServer(Address address, LogServerSettings settings) throws IOException {
        this.settings = settings;
        this.random = new Random(settings.seed());
        this.rateLimit = new RateLimit(settings.maxAppendsPerSecond(), System.nanoTime());
        this.http = StandinHttpServer.start(address, this::handle);
    }

    public Address address() {
        return http.address();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/_faults")) {
            handleFaults(exchange);
            return;
        }
        if (path.equals("/_stats")) {
            HttpBodies.sendJson(exchange, HttpBodies.OK, stats());
            return;
        }
        Matcher matcher = RECORDS_PATH.matcher(path);
        if (!matcher.matches()) {
            HttpBodies.send(exchange, HttpBodies.NOT_FOUND, "text/plain", new byte[0]);
            return;
        }
        LogStream stream = streams.computeIfAbsent(
                matcher.group(1),
                name -> new LogStream(new LogStream.Retention(settings.retentionMs(), settings.retentionRecords())));
        try {
            handleStream(exchange, stream);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handleFaults(HttpExchange exchange) throws IOException {
        if (exchange.getRequestMethod().equals("POST")) {
            faults = faults.with(HttpBodies.readJson(exchange));
        }
        HttpBodies.sendJson(exchange, HttpBodies.OK, faults.toJson());
    }

    /** Handles a request for a stream. If no response is sent, the connection is closed on return. */
    private void handleStream(HttpExchange exchange, LogStream stream) throws IOException, InterruptedException {
        byte[] body = HttpBodies.read(exchange);
        if (faults.down()) {
            return;
        }
        Thread.sleep(faults.delayMs());
        if (faults.down()) {
            return;
        }
        switch (exchange.getRequestMethod()) {
            case "POST" -> append(exchange, stream, body);
            case "GET" -> read(exchange, stream);
            default -> HttpBodies.send(exchange, HttpBodies.METHOD_NOT_ALLOWED, "text/plain", new byte[0]);
        }
    }

    private void append(HttpExchange exchange, LogStream stream, byte[] body) throws IOException {
        Proto.AppendRequest request;
        try {
            request = Proto.AppendRequest.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("body is no append request: " + e.getMessage(), e);
        }
        if (request.getItemsCount() == 0) {
            throw new IllegalArgumentException("an append needs at least one item");
        }
        if (request.getItemsCount() > settings.maxBatchRecords()) {
            HttpBodies.send(exchange, TOO_LARGE, "text/plain", new byte[0]);
            return;
        }
        if (!rateLimit.tryAcquire(System.nanoTime())) {
            rateLimited.incrementAndGet();
            HttpBodies.send(exchange, TOO_MANY_REQUESTS, "text/plain", new byte[0]);
            return;
        }
        LogFaults current = faults;
        if (losesResponse(current)) {
            lostResponses.incrementAndGet();
            lateAppendExecutor.schedule(() -> store(stream, request), current.lateAppendMs(), TimeUnit.MILLISECONDS);
            return;
        }
        Proto.AppendResponse response = Proto.AppendResponse.newBuilder()
                .setFirstOffset(store(stream, request))
                .build();
        HttpBodies.send(exchange, HttpBodies.OK, CONTENT_TYPE, response.toByteArray());
    }

    private boolean losesResponse(LogFaults current) {
        synchronized (random) {
            return random.nextDouble() < current.loseAnswers();
        }
    }

    private long store(LogStream stream, Proto.AppendRequest request) {
        appends.incrementAndGet();
        records.addAndGet(request.getItemsCount());
        return stream.append(request.getItemsList(), System.currentTimeMillis());
    }

    private void read(HttpExchange exchange, LogStream stream) throws IOException, InterruptedException {
        Map<String, String> query = HttpBodies.query(exchange);
        long from = HttpBodies.number(query, "from", 0);
        int max = (int) Math.min(MAX_READ_RECORDS, HttpBodies.number(query, "max", MAX_READ_RECORDS));
        long waitMs = Math.min(MAX_WAIT_MS, HttpBodies.number(query, "wait_ms", 0));
        if (from < 0 || max < 1 || waitMs < 0) {
            throw new IllegalArgumentException("from and wait_ms must be at least 0, max at least 1");
        }
        reads.incrementAndGet();
        LogStream.Slice slice = stream.read(from, max, waitMs, () -> faults.down());
        if (faults.down()) {
            return;
        }
        HttpBodies.send(exchange, slice.expired() ? GONE : HttpBodies.OK, CONTENT_TYPE, toBody(slice));
    }

    private static byte[] toBody(LogStream.Slice slice) {
        Proto.ReadResponse.Builder builder = Proto.ReadResponse.newBuilder()
                .setFirstOffset(slice.firstRetained())
                .setNextOffset(slice.nextOffset())
                .setAtTail(slice.atTail());
        for (LogStream.Record record : slice.records()) {
            builder.addItemsBuilder()
                    .setOffset(record.offset())
                    .setOperationId(record.operationId())
                    .setTimeMs(record.timeMs())
                    .setPayload(record.payload());
        }
        return builder.build().toByteArray();
    }

    private ObjectNode stats() {
        ObjectNode stats = HttpBodies.object()
                .put("appends", appends.get())
                .put("records", records.get())
                .put("reads", reads.get())
                .put("limited", rateLimited.get())
                .put("lostAnswers", lostResponses.get());
        ObjectNode byName = stats.putObject("streams");
        streams.forEach((name, stream) -> byName.putObject(name)
                .put("firstRetained", stream.firstRetained())
                .put("nextOffset", stream.nextOffset()));
        return stats;
    }

    @Override
    public void close() {
        http.close();
        lateAppendExecutor.shutdownNow();
    }
}
