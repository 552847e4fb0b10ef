package org.siskintiller.standin.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;

/** Reads requests and writes responses of a JDK HTTP server. */
public final class HttpBodies {
    public static final int OK = 200;
    public static final int BAD_REQUEST = 400;
    public static final int NOT_FOUND = 404;
    public static final int METHOD_NOT_ALLOWED = 405;
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private HttpBodies() {}

    public static ObjectNode object() {
        return JSON.createObjectNode();
    }

    public static byte[] read(HttpExchange exchange) throws IOException {
        InputStream in = exchange.getRequestBody();
        byte[] body = in.readNBytes(MAX_BODY_BYTES + 1);
        if (body.length > MAX_BODY_BYTES) {
            throw new IllegalArgumentException("body is larger than " + MAX_BODY_BYTES + " bytes");
        }
        return body;
    }

    public static JsonNode readJson(HttpExchange exchange) throws IOException {
        return parse(read(exchange));
    }

    /** Parses a JSON object. */
    public static JsonNode parse(byte[] body) throws IOException {
        try {
            JsonNode node = JSON.readTree(body);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("body is no JSON: " + e.getOriginalMessage(), e);
        }
        throw new IllegalArgumentException("body is no JSON object");
    }

    /** Rejects unknown fields, since a misspelt fault would otherwise be ignored. */
    public static void checkFields(JsonNode json, Set<String> known) {
        json.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                throw new IllegalArgumentException("unknown field " + name + "; known are " + new TreeSet<>(known));
            }
        });
    }

    public static void sendJson(HttpExchange exchange, int status, JsonNode body) throws IOException {
        send(exchange, status, "application/json", toLine(body).getBytes(StandardCharsets.UTF_8));
    }

    /** Serializes JSON on one line. */
    public static String toLine(JsonNode node) throws IOException {
        return JSON.writeValueAsString(node);
    }

    public static void send(HttpExchange exchange, int status, String contentType, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", contentType);
        // A length of 0 would select chunked encoding; -1 selects an empty body.
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    public static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) {
            return result;
        }
        for (String part : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                result.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    public static long number(Map<String, String> query, String name, long fallback) {
        String value = query.get(name);
        if (value == null) {
            return fallback;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + "=" + value + " is no integer", e);
        }
    }

    /** Returns the value of a request header, or an empty string. */
    public static String header(HttpExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }
}
