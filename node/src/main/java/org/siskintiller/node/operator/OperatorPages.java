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
import org.siskintiller.node.http.OperatorHandler;
import org.siskintiller.node.http.ProblemWriter;
import org.siskintiller.node.request.Problem;

/** Serves status, owner, metrics and health to operators and announce to the backend server, below /_siskin/. */
public final class OperatorPages implements OperatorHandler {
    private static final int MAX_ANNOUNCEMENT_BYTES = 8192;
    private static final String JSON = "application/json";

    private final CompanionView view;
    private final Consumer<Announcement> announcementConsumer;
    private final MetricRegistry metrics;

    public OperatorPages(CompanionView view, Consumer<Announcement> announcementConsumer, MetricRegistry metrics) {
        this.view = view;
        this.announcementConsumer = announcementConsumer;
        this.metrics = metrics;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            switch (exchange.getRequestMethod() + " " + exchange.getRequestURI().getRawPath()) {
                case "POST /_siskin/announce":
                    handleAnnounce(exchange);
                    break;
                case "GET /_siskin/status":
                    respond(exchange, 200, JSON, view.status().toString());
                    break;
                case "GET /_siskin/owner":
                    handleOwner(exchange);
                    break;
                case "GET /_siskin/metrics":
                    respond(exchange, 200, "text/plain; version=0.0.4", PrometheusText.render(metrics));
                    break;
                case "GET /_siskin/health":
                    handleHealth(exchange);
                    break;
                default:
                    respondProblem(
                            exchange, 404, "unknown-path", "no such path", "use status, owner, metrics or health");
                    break;
            }
        }
    }

    private void handleAnnounce(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readNBytes(MAX_ANNOUNCEMENT_BYTES + 1);
        Optional<Announcement> announcement =
                body.length > MAX_ANNOUNCEMENT_BYTES ? Optional.empty() : Announcement.parse(body);
        if (announcement.isEmpty()) {
            EventLog.log(LogEvent.BACKEND_ANNOUNCEMENT_INVALID, "from " + exchange.getRemoteAddress());
            respondProblem(
                    exchange,
                    400,
                    "announcement",
                    "the announcement is malformed",
                    "send service, host, port and limits");
            return;
        }
        announcementConsumer.accept(announcement.get());
        respond(exchange, 200, JSON, "{}");
    }

    private void handleOwner(HttpExchange exchange) throws IOException {
        Map<String, String> query = parseQuery(exchange.getRequestURI().getRawQuery());
        String service = query.get("service");
        String key = query.get("key");
        if (service == null || key == null) {
            respondProblem(exchange, 400, "query", "service and key are required", "add ?service=S&key=K");
            return;
        }
        Optional<ObjectNode> owner = view.owner(service, key);
        if (owner.isEmpty()) {
            respondProblem(exchange, 404, "unknown-service", "no service " + service, "use a published service name");
            return;
        }
        respond(exchange, 200, JSON, owner.get().toString());
    }

    private void handleHealth(HttpExchange exchange) throws IOException {
        boolean healthy = view.isHealthy();
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("leaseHeld", healthy);
        respond(exchange, healthy ? 200 : 503, JSON, body.toString());
    }

    static Map<String, String> parseQuery(String rawQuery) {
        Map<String, String> values = new HashMap<>();
        for (String part : rawQuery == null ? new String[0] : rawQuery.split("&")) {
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

    private static void respondProblem(HttpExchange exchange, int status, String type, String detail, String remedy)
            throws IOException {
        byte[] body = ProblemWriter.write(Problem.notRun(status, type, detail, remedy));
        respond(exchange, status, ProblemWriter.CONTENT_TYPE, new String(body, StandardCharsets.UTF_8));
    }

    private static void respond(HttpExchange exchange, int status, String contentType, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", contentType);
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
    }
}
