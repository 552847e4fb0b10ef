package org.siskintiller.node.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.siskintiller.core.model.Address;

/** Backend server that records the requests it runs and echoes their bodies. */
final class FakeBackend implements AutoCloseable {
    final List<String> executed = new CopyOnWriteArrayList<>();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final String service;

    FakeBackend(String service) throws IOException {
        this.service = service;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        server.setExecutor(threads);
        server.createContext("/", this::run);
        server.createContext(
                "/grants", exchange -> respond(exchange, 200, "{\"clockMs\":" + System.nanoTime() / 1_000_000 + "}"));
        server.createContext("/load", exchange -> respond(exchange, 200, "{\"running\":0,\"concurrency\":12}"));
        server.start();
    }

    private void run(HttpExchange exchange) throws IOException {
        executed.add(exchange.getRequestHeaders().getFirst("Siskin-Key") + " "
                + exchange.getRequestHeaders().getFirst("Siskin-Fence") + " "
                + exchange.getRequestHeaders().getFirst("Idempotency-Key"));
        exchange.getResponseHeaders()
                .set("Siskin-Request-Id", exchange.getRequestHeaders().getFirst("Siskin-Request-Id"));
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        if (path.startsWith("/cut")) {
            exchange.sendResponseHeaders(200, path.endsWith("chunked") ? 0 : 1000);
            exchange.getResponseBody().write(new byte[500]);
            exchange.getResponseBody().flush();
            // Fails before the end of the body, so that the server closes the connection.
            throw new IOException("cut");
        }
        if (path.startsWith("/refuse")) {
            exchange.getResponseHeaders().set("Siskin-Outcome", "not-run");
            exchange.sendResponseHeaders(503, -1);
            exchange.close();
            return;
        }
        if (path.startsWith("/slow")) {
            sleep(300);
        }
        exchange.getResponseHeaders().set("X-Echo", exchange.getRequestHeaders().getFirst("X-Tag") + "");
        exchange.sendResponseHeaders(200, path.startsWith("/chunked") ? 0 : body.length == 0 ? -1 : body.length);
        try (OutputStream out = exchange.getResponseBody()) {
            if (body.length > 0) {
                out.write(body);
            }
        }
        exchange.close();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void respond(HttpExchange exchange, int status, String text) throws IOException {
        exchange.getRequestBody().readAllBytes();
        exchange.sendResponseHeaders(status, text.length());
        exchange.getResponseBody().write(text.getBytes());
        exchange.close();
    }

    void announce(HttpClient client, Address companion, boolean leaving) throws IOException, InterruptedException {
        String json = "{\"service\":\"" + service + "\",\"host\":\"127.0.0.1\",\"port\":"
                + server.getAddress().getPort() + ",\"concurrency\":12,\"connections\":130,\"leaving\":" + leaving
                + "}";
        client.send(
                HttpRequest.newBuilder(URI.create("http://" + companion + "/_siskin/announce"))
                        .POST(BodyPublishers.ofString(json))
                        .build(),
                BodyHandlers.discarding());
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
