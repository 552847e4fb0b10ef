package org.siskintiller.standin.backend;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Fence;
import org.siskintiller.standin.http.HttpBodies;
import org.siskintiller.standin.http.StandinHttpServer;

/** Backend server with fences, faults and a journal of its executions. */
final class BackendStandin implements AutoCloseable {
    private static final String REQUESTS_PREFIX = "/requests/";
    private static final String OUTCOME_HEADER = "Siskin-Outcome";
    private static final String NOT_RUN = "not-run";
    private static final long NS_PER_MS = 1_000_000;

    /** Duration of a health probe in every deployment. */
    private static final long HEALTH_PROBE_MS = 6;

    /** Start value of the server's clock, so that a companion that compares it with its own clock fails. */
    private static final long CLOCK_OFFSET_MS = 1_234_567;

    private final BackendSettings settings;
    private final GrantTable grants = new GrantTable();
    private final FreezeGate freezeGate = new FreezeGate();
    private final LoadHistory loadHistory = new LoadHistory();
    private final long startNs = System.nanoTime();
    private final Journal journal;
    private final RequestRunner runner;
    private final StandinHttpServer http;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, runnable -> {
        Thread thread = new Thread(runnable, "backend-timers");
        thread.setDaemon(true);
        return thread;
    });
    private volatile BackendFaults faults = BackendFaults.NONE;

    /** The crash action ends the process and does not return. */
    BackendStandin(Address address, BackendSettings settings, Runnable crashAction) throws IOException {
        this.settings = settings;
        this.journal = new Journal(settings.journalLimit(), settings.journalFile());
        this.runner = new RequestRunner(settings, grants, freezeGate, journal, this::clockMs, crashAction);
        this.http = StandinHttpServer.start(address, this::handle);
        timers.scheduleAtFixedRate(
                () -> loadHistory.add(System.nanoTime(), runner.running()),
                0,
                LoadHistory.SAMPLE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        if (settings.companion() != null) {
            Announcer announcer = new Announcer(settings, http.address());
            timers.scheduleAtFixedRate(() -> announce(announcer), 0, settings.announceMs(), TimeUnit.MILLISECONDS);
        }
    }

    Address address() {
        return http.address();
    }

    private long clockMs() {
        return CLOCK_OFFSET_MS + (System.nanoTime() - startNs) / NS_PER_MS;
    }

    private void announce(Announcer announcer) {
        if (faults.announce() && !freezeGate.isFrozen()) {
            announcer.announce(faults.leaving());
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] body = HttpBodies.read(exchange);
            String path = exchange.getRequestURI().getPath();
            // Faults and the journal are test controls, so they are also served while the server is frozen.
            if (path.equals("/_faults")) {
                handleFaults(exchange, body);
                return;
            }
            if (path.equals("/journal")) {
                exchange.getResponseHeaders().set("X-Journal-Dropped", Long.toString(journal.dropped()));
                HttpBodies.send(exchange, HttpBodies.OK, "application/x-ndjson", journal.toLines());
                return;
            }
            freezeGate.await();
            handleService(exchange, path, body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handleService(HttpExchange exchange, String path, byte[] body)
            throws IOException, InterruptedException {
        if (path.equals("/grants")) {
            handleGrants(exchange, body);
        } else if (path.equals("/load")) {
            handleLoad(exchange);
        } else if (path.equals("/health")) {
            Thread.sleep(HEALTH_PROBE_MS);
            HttpBodies.sendJson(exchange, HttpBodies.OK, HttpBodies.object().put("status", "up"));
        } else if (path.startsWith(REQUESTS_PREFIX)
                && exchange.getRequestMethod().equals("DELETE")) {
            boolean found = runner.cancel(path.substring(REQUESTS_PREFIX.length()));
            HttpBodies.sendJson(
                    exchange,
                    found ? HttpBodies.OK : HttpBodies.NOT_FOUND,
                    HttpBodies.object().put("cancelled", found));
        } else {
            handleRequest(exchange);
        }
    }

    private void handleFaults(HttpExchange exchange, byte[] body) throws IOException {
        if (exchange.getRequestMethod().equals("POST")) {
            JsonNode change = HttpBodies.parse(body);
            faults = faults.with(change);
            if (change.has("freezeMs")) {
                freezeGate.freeze(change.path("freezeMs").asLong());
            } else if (change.has("frozen") && change.path("frozen").asBoolean()) {
                freezeGate.freeze(0);
            } else if (change.has("frozen") || change.path("mode").asText("").equals("up")) {
                freezeGate.unfreeze();
            }
        }
        HttpBodies.sendJson(exchange, HttpBodies.OK, faults.toJson().put("frozen", freezeGate.isFrozen()));
    }

    private void handleGrants(HttpExchange exchange, byte[] body) throws IOException {
        JsonNode json = HttpBodies.parse(body);
        List<GrantTable.GrantedSlot> slots = new ArrayList<>();
        for (JsonNode slot : json.path("slots")) {
            Fence fence = new Fence(
                    slot.path("version").asLong(), slot.path("candidateIndex").asInt());
            slots.add(new GrantTable.GrantedSlot(slot.path("slot").asInt(), fence));
        }
        List<Integer> dropped = new ArrayList<>();
        for (JsonNode slot : json.path("dropped")) {
            dropped.add(slot.isObject() ? slot.path("slot").asInt() : slot.asInt());
        }
        grants.update(json.path("companion").asText(), json.path("expiresAtMs").asLong(Long.MIN_VALUE), slots, dropped);
        HttpBodies.sendJson(exchange, HttpBodies.OK, HttpBodies.object().put("clockMs", clockMs()));
    }

    private void handleLoad(HttpExchange exchange) throws IOException {
        BackendFaults current = faults;
        int running = current.loadLagMs() == 0
                ? runner.running()
                : loadHistory.runningAt(System.nanoTime(), current.loadLagMs());
        HttpBodies.sendJson(
                exchange,
                HttpBodies.OK,
                HttpBodies.object()
                        .put("running", (int) Math.round(running * current.loadFactor()))
                        .put("concurrency", settings.concurrency()));
    }

    private void handleRequest(HttpExchange exchange) throws IOException, InterruptedException {
        BackendRequest request = BackendRequest.of(exchange, System.nanoTime());
        BackendFaults current = faults;
        RequestRunner.Result result = runner.run(request, current);
        freezeGate.await();
        exchange.getResponseHeaders().set("Siskin-Request-Id", request.requestId());
        if (result instanceof RequestRunner.Result.NotRun notRun) {
            exchange.getResponseHeaders().set(OUTCOME_HEADER, NOT_RUN);
            HttpBodies.sendJson(exchange, notRun.status(), HttpBodies.object().put("error", notRun.reason()));
        } else if (result instanceof RequestRunner.Result.Failed failed) {
            HttpBodies.sendJson(exchange, failed.status(), HttpBodies.object().put("error", failed.reason()));
        } else if (!runner.drawFault(current.dropAnswers())) {
            respond(exchange, request, (RequestRunner.Result.Committed) result, current);
        }
    }

    private void respond(
            HttpExchange exchange,
            BackendRequest request,
            RequestRunner.Result.Committed committed,
            BackendFaults current)
            throws IOException, InterruptedException {
        long exportBytes = HttpBodies.number(HttpBodies.query(exchange), "bytes", 0);
        if (request.path().endsWith("/export") && exportBytes > 0) {
            exchange.getResponseHeaders().set("X-Caller-Tag", request.tag());
            sendExport(exchange, exportBytes, current);
            return;
        }
        HttpBodies.sendJson(
                exchange,
                HttpBodies.OK,
                HttpBodies.object()
                        .put("key", request.key())
                        .put("tag", request.tag())
                        .put("version", committed.version())
                        .put("execution", committed.execution())
                        .put("requestId", request.requestId())
                        .put("idempotencyKey", request.idempotencyKey()));
    }

    private void sendExport(HttpExchange exchange, long bytes, BackendFaults current)
            throws IOException, InterruptedException {
        ExportBody body = new ExportBody(bytes);
        exchange.getResponseHeaders().set("Repr-Digest", body.reprDigest());
        exchange.getResponseHeaders().set("Content-Type", "application/octet-stream");
        exchange.sendResponseHeaders(HttpBodies.OK, bytes);
        boolean truncate = runner.drawFault(current.cutBodies());
        body.write(exchange.getResponseBody(), truncate ? bytes / 2 : bytes, freezeGate);
        exchange.close();
    }

    @Override
    public void close() throws IOException {
        timers.shutdownNow();
        freezeGate.unfreeze();
        http.close();
        journal.close();
    }
}
