package org.siskintiller.node.http;

import java.io.IOException;
import java.io.OutputStream;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.ResponseHead;
import org.siskintiller.node.request.ResponseSink;

/** Sends a response to a caller through the JDK HTTP server. */
final class ExchangeSink implements ResponseSink {
    private final HttpExchange exchange;
    private boolean started;
    private boolean aborted;

    ExchangeSink(HttpExchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public OutputStream start(ResponseHead head) throws IOException {
        started = true;
        Headers headers = exchange.getResponseHeaders();
        for (Header header : head.headers()) {
            if (HeaderRules.isForwardedToCaller(header.name())) {
                headers.add(header.name(), header.value());
            }
        }
        exchange.sendResponseHeaders(head.status(), responseLength(head, headers));
        return exchange.getResponseBody();
    }

    private long responseLength(ResponseHead head, Headers headers) {
        boolean hasNoBody = exchange.getRequestMethod().equals("HEAD") || head.status() == 204 || head.status() == 304;
        if (hasNoBody) {
            if (head.contentLength() > 0 && head.status() != 204) {
                headers.set("Content-Length", Long.toString(head.contentLength()));
            }
            return -1;
        }
        if (head.contentLength() < 0) {
            return 0;
        }
        return head.contentLength() == 0 ? -1 : head.contentLength();
    }

    @Override
    public void finish() throws IOException {
        exchange.getResponseBody().close();
    }

    @Override
    public void abort(String reason) {
        aborted = true;
    }

    @Override
    public void refuse(Problem problem) throws IOException {
        started = true;
        byte[] body = ProblemWriter.write(problem);
        Headers headers = exchange.getResponseHeaders();
        headers.set("Content-Type", ProblemWriter.CONTENT_TYPE);
        headers.set("Siskin-Outcome", problem.outcome().label());
        if (problem.retryAfterMs() > 0) {
            headers.set("Retry-After", Long.toString((problem.retryAfterMs() + 999) / 1000));
        }
        boolean isHead = exchange.getRequestMethod().equals("HEAD");
        exchange.sendResponseHeaders(problem.status(), isHead ? -1 : body.length);
        if (!isHead) {
            exchange.getResponseBody().write(body);
        }
        exchange.getResponseBody().close();
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public boolean aborted() {
        return aborted;
    }
}
