package org.siskintiller.logclient;

import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.siskintiller.wire.proto.Proto;

/** Log client over HTTP with protobuf bodies. */
public final class HttpLogClient implements LogClient {
    private static final String CONTENT_TYPE = "application/x-protobuf";
    private static final int STATUS_OK = 200;
    private static final int STATUS_GONE = 410;
    private static final int MIN_CLIENT_ERROR_STATUS = 400;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final LogClientSettings settings;
    private final HttpClient http;

    public HttpLogClient(LogClientSettings settings) {
        this.settings = settings;
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(settings.connectTimeout())
                .build();
    }

    @Override
    public AppendResult append(String stream, List<PendingRecord> records) {
        if (records.isEmpty()) {
            throw new IllegalArgumentException("an append needs at least one record");
        }
        Proto.AppendRequest body = LogBodies.appendRequest(records);
        if (body.getSerializedSize() > settings.maxRequestBytes()) {
            return new AppendResult.Refused("batch of " + body.getSerializedSize() + " bytes is larger than "
                    + settings.maxRequestBytes() + "; append fewer records at once");
        }
        HttpRequest request = HttpRequest.newBuilder(uri(stream, ""))
                .header("Content-Type", CONTENT_TYPE)
                .POST(HttpRequest.BodyPublishers.ofByteArray(body.toByteArray()))
                .build();
        Exchange exchange = send(request, settings.requestTimeout());
        if (exchange instanceof Exchange.NotSent notSent) {
            return new AppendResult.Refused(notSent.reason());
        }
        if (exchange instanceof Exchange.Incomplete incomplete) {
            return new AppendResult.Uncertain(incomplete.reason());
        }
        return appendResult((Exchange.Completed) exchange);
    }

    @Override
    public ReadResult read(String stream, long from, int maxRecords, long waitMs) {
        if (from < 0 || maxRecords < 1 || waitMs < 0) {
            throw new IllegalArgumentException(
                    "from " + from + ", maxRecords " + maxRecords + " or waitMs " + waitMs + " is too low");
        }
        HttpRequest request = HttpRequest.newBuilder(
                        uri(stream, "?from=" + from + "&max=" + maxRecords + "&wait_ms=" + waitMs))
                .GET()
                .build();
        Exchange exchange = send(request, settings.requestTimeout().plusMillis(waitMs));
        if (exchange instanceof Exchange.NotSent notSent) {
            return new ReadResult.Unavailable(notSent.reason());
        }
        if (exchange instanceof Exchange.Incomplete incomplete) {
            return new ReadResult.Unavailable(incomplete.reason());
        }
        Exchange.Completed completed = (Exchange.Completed) exchange;
        return switch (completed.status()) {
            case STATUS_OK -> LogBodies.readResult(completed.body(), from);
            case STATUS_GONE -> LogBodies.expired(completed.body());
            default -> new ReadResult.Unavailable("log service answered status " + completed.status());
        };
    }

    private static AppendResult appendResult(Exchange.Completed completed) {
        int status = completed.status();
        if (status == STATUS_OK) {
            return LogBodies.appendResult(completed.body());
        }
        String reason = "log service answered status " + status;
        // A server error may come from an intermediary, after the log service has stored the records.
        return status >= MIN_CLIENT_ERROR_STATUS && status < MIN_SERVER_ERROR_STATUS
                ? new AppendResult.Refused(reason)
                : new AppendResult.Uncertain(reason);
    }

    private URI uri(String stream, String query) {
        String name = URLEncoder.encode(stream, StandardCharsets.UTF_8);
        return URI.create("http://" + settings.address() + "/streams/" + name + "/records" + query);
    }

    /** The timeout covers the response body too; the timeout of HttpRequest ends with the response headers. */
    private Exchange send(HttpRequest request, Duration timeout) {
        CompletableFuture<HttpResponse<byte[]>> future =
                http.sendAsync(request, info -> new LimitedBodySubscriber(settings.maxResponseBytes()));
        try {
            HttpResponse<byte[]> response = future.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
            return new Exchange.Completed(response.statusCode(), response.body());
        } catch (ExecutionException e) {
            return failure(e.getCause());
        } catch (TimeoutException e) {
            future.cancel(true);
            return new Exchange.Incomplete("no complete answer within " + timeout.toMillis() + " ms");
        } catch (InterruptedException e) {
            future.cancel(true);
            Thread.currentThread().interrupt();
            return new Exchange.Incomplete("interrupted while waiting for the answer");
        }
    }

    private static Exchange failure(Throwable cause) {
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return new Exchange.NotSent("cannot connect to the log service: " + cause.getMessage());
        }
        return new Exchange.Incomplete("answer lost: " + cause);
    }

    /** Result of one HTTP request. */
    private sealed interface Exchange {

        /** No connection was established, so nothing was sent. */
        record NotSent(String reason) implements Exchange {}

        /** The request was or may have been sent, but no complete response was received. */
        record Incomplete(String reason) implements Exchange {}

        /** The complete response was received. */
        record Completed(int status, byte[] body) implements Exchange {}
    }
}
