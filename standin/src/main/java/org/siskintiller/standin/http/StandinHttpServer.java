package org.siskintiller.standin.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import org.siskintiller.core.model.Address;

/** JDK HTTP server with a bounded thread pool and one handler for all paths. */
public final class StandinHttpServer implements AutoCloseable {
    private static final int MAX_THREADS = 1024;
    private static final int ACCEPT_BACKLOG = 256;
    private static final int THREAD_KEEP_ALIVE_SECONDS = 10;

    static {
        // Without TCP_NODELAY, a response written in two parts waits about 40 ms for a delayed ACK.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        // The defaults close idle connections after 30 s or beyond 200, which fails requests sent at that moment.
        System.setProperty("sun.net.httpserver.idleInterval", "3600");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4096");
    }

    private final HttpServer server;
    private final ThreadPoolExecutor executor;

    private StandinHttpServer(HttpServer server, ThreadPoolExecutor executor) {
        this.server = server;
        this.executor = executor;
    }

    public static StandinHttpServer start(Address address, HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(address.host(), address.port()), ACCEPT_BACKLOG);
        ThreadPoolExecutor executor = new ThreadPoolExecutor(
                0, MAX_THREADS, THREAD_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), runnable -> {
                    Thread thread = new Thread(runnable, "standin-http");
                    thread.setDaemon(true);
                    return thread;
                });
        server.setExecutor(executor);
        server.createContext("/", exchange -> handle(handler, exchange));
        server.start();
        return new StandinHttpServer(server, executor);
    }

    public Address address() {
        InetSocketAddress bound = server.getAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    private static void handle(HttpHandler handler, HttpExchange exchange) throws IOException {
        try {
            handler.handle(exchange);
        } catch (IllegalArgumentException e) {
            HttpBodies.sendJson(
                    exchange, HttpBodies.BAD_REQUEST, HttpBodies.object().put("error", e.getMessage()));
        } finally {
            exchange.close();
        }
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
