package org.siskintiller.node.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import org.siskintiller.config.CompanionSettings.Limits;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.RequestHead;

/** Parses method, path and headers of a caller into an immutable request head, or rejects them with a problem. */
public final class RequestParser {
    private static final int MAX_HEADERS = 100;
    private static final int MAX_PATH_CHARS = 8192;
    private static final int MAX_SINGLE_VALUE_CHARS = 512;
    private static final long MAX_DEADLINE_MS = 3_600_000;
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS");
    private static final Pattern SERVICE = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,18}");
    private static final List<String> SINGLE_VALUED =
            List.of("host", "siskin-key", "siskin-customer", "siskin-rank", "siskin-deadline-ms", "idempotency-key");

    private final Limits limits;
    private final Supplier<RequestId> requestIds;

    public RequestParser(Limits limits, Supplier<RequestId> requestIds) {
        this.limits = limits;
        this.requestIds = requestIds;
    }

    /**
     * Parses one request head.
     *
     * @param target path and query as received, not decoded
     */
    public ParseResult parse(String method, String target, List<Header> headers) {
        Map<String, List<String>> byName = new HashMap<>();
        Optional<Problem> problem = collectHeaders(headers, byName)
                .or(() -> checkRequestLine(method, target))
                .or(() -> checkConnection(byName))
                .or(() -> checkFraming(byName))
                .or(() -> checkSingleValued(byName));
        if (problem.isPresent()) {
            return new ParseResult.Rejected(problem.get());
        }
        return buildResult(method, target, headers, byName);
    }

    private Optional<Problem> collectHeaders(List<Header> headers, Map<String, List<String>> byName) {
        if (headers.size() > MAX_HEADERS) {
            return reject(431, "too-many-headers", "more than " + MAX_HEADERS + " headers", "send fewer headers");
        }
        long bytes = 0;
        for (Header header : headers) {
            bytes += header.name().length() + header.value().length() + 4L;
            if (!HeaderRules.isToken(header.name())) {
                return reject(400, "header-name", "a header name is not a token", "correct the header name");
            }
            if (!HeaderRules.isValidValue(header.value())) {
                return reject(
                        400,
                        "header-value",
                        "header " + header.name() + " has a line break or control character",
                        "remove it");
            }
            String lowerName = header.name().toLowerCase(Locale.ROOT);
            if (HeaderRules.isReserved(lowerName)) {
                return reject(400, "reserved-header", header.name() + " is set by companions only", "remove it");
            }
            byName.computeIfAbsent(lowerName, ignored -> new ArrayList<>()).add(header.value());
        }
        if (bytes > limits.maxHeaderBytes()) {
            return reject(
                    431, "headers-too-large", "headers exceed " + limits.maxHeaderBytes() + " bytes", "send less");
        }
        return Optional.empty();
    }

    private static Optional<Problem> checkRequestLine(String method, String target) {
        if (!METHODS.contains(method)) {
            return reject(405, "method", "method is not allowed", "use one of " + METHODS);
        }
        if (!target.startsWith("/") || target.length() > MAX_PATH_CHARS || !HeaderRules.isValidValue(target)) {
            return reject(400, "path", "the path must start with / and have at most 8192 characters", "correct it");
        }
        return Optional.empty();
    }

    private static Optional<Problem> checkConnection(Map<String, List<String>> byName) {
        for (String name : byName.keySet()) {
            if (HeaderRules.isRefusedHopByHop(name)) {
                return reject(400, "hop-by-hop-header", "header " + name + " is not accepted", "use plain HTTP/1.1");
            }
        }
        for (String value : byName.getOrDefault("connection", List.of())) {
            if (!HeaderRules.hasOnlyPersistenceOptions(value)) {
                return reject(400, "hop-by-hop-header", "Connection names other headers", "send keep-alive or close");
            }
        }
        return Optional.empty();
    }

    private Optional<Problem> checkFraming(Map<String, List<String>> byName) {
        List<String> lengths = byName.getOrDefault("content-length", List.of());
        List<String> encodings = byName.getOrDefault("transfer-encoding", List.of());
        if (lengths.size() > 1 || !lengths.isEmpty() && !encodings.isEmpty()) {
            return reject(400, "conflicting-lengths", "the body has more than one length", "send exactly one");
        }
        if (encodings.size() > 1 || encodings.size() == 1 && !encodings.get(0).equalsIgnoreCase("chunked")) {
            return reject(400, "transfer-encoding", "only chunked is accepted", "send a Content-Length or chunked");
        }
        if (lengths.isEmpty()) {
            return Optional.empty();
        }
        if (!DIGITS.matcher(lengths.get(0)).matches()) {
            return reject(400, "content-length", "Content-Length is not a number", "correct it");
        }
        if (Long.parseLong(lengths.get(0)) > limits.maxBodyBytes()) {
            return reject(413, "body-too-large", "the body exceeds " + limits.maxBodyBytes() + " bytes", "send less");
        }
        return Optional.empty();
    }

    private static Optional<Problem> checkSingleValued(Map<String, List<String>> byName) {
        for (String name : SINGLE_VALUED) {
            List<String> values = byName.getOrDefault(name, List.of());
            if (values.size() > 1) {
                return reject(400, "repeated-header", "header " + name + " appears more than once", "send it once");
            }
            if (!values.isEmpty() && values.get(0).length() > MAX_SINGLE_VALUE_CHARS) {
                return reject(400, "header-too-long", "header " + name + " exceeds 512 characters", "shorten it");
            }
        }
        for (String deadline : byName.getOrDefault("siskin-deadline-ms", List.of())) {
            if (!DIGITS.matcher(deadline).matches()
                    || Long.parseLong(deadline) < 1
                    || Long.parseLong(deadline) > MAX_DEADLINE_MS) {
                return reject(400, "deadline", "Siskin-Deadline-Ms must be 1 to 3600000", "correct it");
            }
        }
        return Optional.empty();
    }

    private ParseResult buildResult(
            String method, String target, List<Header> headers, Map<String, List<String>> byName) {
        int serviceEnd = 1;
        while (serviceEnd < target.length() && target.charAt(serviceEnd) != '/' && target.charAt(serviceEnd) != '?') {
            serviceEnd++;
        }
        String service = target.substring(1, serviceEnd);
        if (!SERVICE.matcher(service).matches()) {
            return new ParseResult.Rejected(Problem.notRun(
                    404,
                    "unknown-service",
                    "the path names no service",
                    "use /{service}/... with a published service"));
        }
        String rest = target.substring(serviceEnd);
        String path = rest.startsWith("/") ? rest : "/" + rest;
        List<Header> forwarded = new ArrayList<>();
        for (Header header : headers) {
            if (HeaderRules.isForwarded(header.name().toLowerCase(Locale.ROOT))) {
                forwarded.add(header);
            }
        }
        return new ParseResult.Ok(new RequestHead(
                requestIds.get(),
                method,
                service,
                path,
                forwarded,
                singleValue(byName, "siskin-key"),
                Optional.ofNullable(singleValue(byName, "siskin-customer")).orElse(""),
                singleValue(byName, "siskin-rank"),
                singleValue(byName, "idempotency-key"),
                false,
                deadline(byName),
                contentLength(byName)));
    }

    private static long deadline(Map<String, List<String>> byName) {
        String value = singleValue(byName, "siskin-deadline-ms");
        return value == null ? 0 : Long.parseLong(value);
    }

    private static long contentLength(Map<String, List<String>> byName) {
        if (byName.containsKey("transfer-encoding")) {
            return -1;
        }
        String value = singleValue(byName, "content-length");
        return value == null ? 0 : Long.parseLong(value);
    }

    private static String singleValue(Map<String, List<String>> byName, String name) {
        List<String> values = byName.get(name);
        return values == null || values.get(0).isEmpty() ? null : values.get(0);
    }

    private static Optional<Problem> reject(int status, String type, String detail, String remedy) {
        return Optional.of(Problem.notRun(status, type, detail, remedy));
    }
}
