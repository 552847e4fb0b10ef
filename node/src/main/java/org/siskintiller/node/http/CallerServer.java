package org.siskintiller.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.siskintiller.config.CompanionSettings.Limits;
import org.siskintiller.core.model.Address;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.InboundRequest;
import org.siskintiller.node.request.LimitedInputStream;
import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.RequestHandler;

/** HTTP server for callers and operators. Each exchange occupies one thread of a bounded pool. */
public final class CallerServer implements AutoCloseable {
    private static final String OPERATOR_PREFIX = "/_siskin/";
    private static final String THREAD_PREFIX = "caller-";
    private static final int ACCEPT_BACKLOG = 1024;
    private static final long THREAD_KEEP_ALIVE_S = 30;

    private final HttpServer server;
    private final ThreadPoolExecutor threads;
    private final RequestParser parser;
    private final Limits limits;
    private final RequestHandler handler;
    private final OperatorHandler operatorHandler;
    private volatile boolean draining;

    public CallerServer(
            Address address,
            Limits limits,
            RequestParser parser,
            RequestHandler handler,
            OperatorHandler operatorHandler)
            throws IOException {
        configureServer(limits);
        this.limits = limits;
        this.parser = parser;
        this.handler = handler;
        this.operatorHandler = operatorHandler;
        AtomicInteger threadCount = new AtomicInteger();
        // If no thread is free, the exchange runs on the server's dispatcher thread, where handle() refuses it.
        threads = new ThreadPoolExecutor(
                0,
                limits.maxCallers(),
                THREAD_KEEP_ALIVE_S,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                task -> {
                    Thread thread = new Thread(task, THREAD_PREFIX + threadCount.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                },
                new ThreadPoolExecutor.CallerRunsPolicy());
        server = HttpServer.create(new InetSocketAddress(address.host(), address.port()), ACCEPT_BACKLOG);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
    }

    /** Sets the limits that the JDK server reads once from system properties. Properties that are already set stay. */
    private static void configureServer(Limits limits) {
        long maxRequestS = Math.max(1, limits.requestTimeoutMs() / 1000) + 5;
        Map<String, String> properties = Map.of(
                "sun.net.httpserver.maxReqTime", Long.toString(maxRequestS),
                "sun.net.httpserver.maxRspTime", Long.toString(2 * maxRequestS),
                "sun.net.httpserver.maxReqHeaders", "200",
                "sun.net.httpserver.maxIdleConnections", Integer.toString(limits.maxCallers()),
                "sun.net.httpserver.nodelay", "true",
                "jdk.httpserver.maxConnections", Integer.toString(4 * limits.maxCallers()));
        properties.forEach((name, value) -> {
            if (System.getProperty(name) == null) {
                System.setProperty(name, value);
            }
        });
    }

    public void start() {
        server.start();
    }

    public Address address() {
        InetSocketAddress bound = server.getAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Returns the number of requests in execution. */
    public int running() {
        return threads.getActiveCount();
    }

    private void handle(HttpExchange exchange) throws IOException {
        ExchangeSink sink = new ExchangeSink(exchange);
        boolean overloaded = !Thread.currentThread().getName().startsWith(THREAD_PREFIX);
        if (overloaded) {
            EventLog.log(LogEvent.CALLERS_EXCEEDED, "max_callers " + limits.maxCallers());
            rejectAndClose(
                    exchange,
                    sink,
                    new Problem(
                            503,
                            "too-many-callers",
                            "the companion serves " + limits.maxCallers() + " callers already",
                            org.siskintiller.core.gate.RefusalKind.Outcome.NOT_RUN,
                            "retry later or at another companion",
                            1000));
            return;
        }
        if (exchange.getRequestURI().getRawPath() != null
                && exchange.getRequestURI().getRawPath().startsWith(OPERATOR_PREFIX)) {
            operatorHandler.handle(exchange);
            return;
        }
        if (draining) {
            rejectAndClose(
                    exchange,
                    sink,
                    Problem.notRun(503, "draining", "the companion is leaving", "use another companion"));
            return;
        }
        serve(exchange, sink);
    }

    /** Refuses new requests and closes their connections, so that callers connect to other companions. */
    public void drain() {
        draining = true;
    }

    private void serve(HttpExchange exchange, ExchangeSink sink) throws IOException {
        if (!exchange.getProtocol().equalsIgnoreCase("HTTP/1.1")) {
            // An HTTP/1.0 body ends with its connection, so a truncated response would look complete to the caller.
            rejectAndClose(exchange, sink, Problem.notRun(505, "version", "only HTTP/1.1 is accepted", "use HTTP/1.1"));
            return;
        }
        ParseResult parsed =
                parser.parse(exchange.getRequestMethod(), target(exchange.getRequestURI()), headers(exchange));
        if (parsed instanceof ParseResult.Rejected) {
            Problem problem = ((ParseResult.Rejected) parsed).problem();
            EventLog.log(LogEvent.REQUEST_REJECTED, problem.detail());
            rejectAndClose(exchange, sink, problem);
            return;
        }
        var head = ((ParseResult.Ok) parsed).head();
        InputStream body =
                new LimitedInputStream(exchange.getRequestBody(), limits.maxBodyBytes(), head.contentLength());
        try {
            handler.serve(new InboundRequest(head, body, sink));
        } catch (RuntimeException e) {
            EventLog.log(LogEvent.UNEXPECTED_ERROR, "request " + head.id(), e);
            throw new CloseConnectionException();
        }
        if (sink.aborted() || !sink.started()) {
            throw new CloseConnectionException();
        }
    }

    /** Sends the problem and closes the connection, so that no rest of this request is parsed as another one. */
    private static void rejectAndClose(HttpExchange exchange, ExchangeSink sink, Problem problem) throws IOException {
        exchange.getResponseHeaders().set("Connection", "close");
        sink.refuse(problem);
        throw new CloseConnectionException();
    }

    private static String target(URI uri) {
        String path = uri.getRawPath() == null || uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
    }

    private static List<Header> headers(HttpExchange exchange) {
        List<Header> headers = new ArrayList<>();
        exchange.getRequestHeaders().forEach((name, values) -> {
            for (String value : values) {
                headers.add(new Header(name, value));
            }
        });
        return headers;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    /**
     * Makes the JDK server close the connection without the last chunk of a chunked body. Closing the exchange would
     * write that chunk, and a truncated response would look complete.
     */
    private static final class CloseConnectionException extends IOException {
        CloseConnectionException() {
            super("closing the connection");
        }
    }
}
