package org.siskintiller.node.operator;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.node.backend.Announcement;
import org.siskintiller.node.http.OperatorPaths;
import org.siskintiller.node.http.ProblemWriter;
import org.siskintiller.node.request.Problem;

/** Serves /_siskin/: status, owner, metrics and health to operators, announce to the backend server. */
public final class OperatorPages implements OperatorPaths {
    private static final int MAX_ANNOUNCEMENT_BYTES = 8192;
    private static final String JSON = "application/json";

    private final CompanionView view;
    private final Consumer<Announcement> announcements;
    private final MetricRegistry metrics;

    public OperatorPages(CompanionView view, Consumer<Announcement> announcements, MetricRegistry metrics) {
        this.view = view;
        this.announcements = announcements;
        this.metrics = metrics;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            switch (exchange.getRequestMethod() + " " + exchange.getRequestURI().getRawPath()) {
                case "POST /_siskin/announce":
                    announce(exchange);
                    break;
                case "GET /_siskin/status":
                    answer(exchange, 200, JSON, view.status().toString());
                    break;
                case "GET /_siskin/owner":
                    owner(exchange);
                    break;
                case "GET /_siskin/metrics":
                    answer(exchange, 200, "text/plain; version=0.0.4", PrometheusText.render(metrics));
                    break;
                case "GET /_siskin/health":
                    health(exchange);
                    break;
                default:
                    problem(exchange, 404, "unknown-path", "no such path", "use status, owner, metrics or health");
                    break;
            }
        }
    }

    private void announce(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readNBytes(MAX_ANNOUNCEMENT_BYTES + 1);
        Optional<Announcement> announcement =
                body.length > MAX_ANNOUNCEMENT_BYTES ? Optional.empty() : Announcement.parse(body);
        if (announcement.isEmpty()) {
            EventLog.log(LogEvent.BACKEND_ANNOUNCEMENT_INVALID, "from " + exchange.getRemoteAddress());
            problem(
                    exchange,
                    400,
                    "announcement",
                    "the announcement is malformed",
                    "send service, host, port and limits");
            return;
        }
        announcements.accept(announcement.get());
        answer(exchange, 200, JSON, "{}");
    }

    private void owner(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String service = query.get("service");
        String key = query.get("key");
        if (service == null || key == null) {
            problem(exchange, 400, "query", "service and key are required", "add ?service=S&key=K");
            return;
        }
        Optional<ObjectNode> owner = view.owner(service, key);
        if (owner.isEmpty()) {
            problem(exchange, 404, "unknown-service", "no service " + service, "use a published service name");
            return;
        }
        answer(exchange, 200, JSON, owner.get().toString());
    }

    private void health(HttpExchange exchange) throws IOException {
        boolean healthy = view.isHealthy();
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("leaseHeld", healthy);
        answer(exchange, healthy ? 200 : 503, JSON, body.toString());
    }

    static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                values.put(part.substring(0, equals), decode(part.substring(equals + 1)));
            }
        }
        return values;
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return text;
        }
    }

    private static void problem(HttpExchange exchange, int status, String type, String detail, String remedy)
            throws IOException {
        byte[] body = ProblemWriter.write(Problem.notRun(status, type, detail, remedy));
        answer(exchange, status, ProblemWriter.CONTENT_TYPE, new String(body, StandardCharsets.UTF_8));
    }

    private static void answer(HttpExchange exchange, int status, String contentType, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", contentType);
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
    }
}
