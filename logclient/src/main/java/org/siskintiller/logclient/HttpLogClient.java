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
    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

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
        if (exchange instanceof Exchange.Lost lost) {
            return new AppendResult.Uncertain(lost.reason());
        }
        return appendResult((Exchange.Answered) exchange);
    }

    @Override
    public ReadResult read(String stream, long from, int max, long waitMs) {
        if (from < 0 || max < 1 || waitMs < 0) {
            throw new IllegalArgumentException(
                    "from " + from + ", max " + max + " or waitMs " + waitMs + " is too low");
        }
        HttpRequest request = HttpRequest.newBuilder(
                        uri(stream, "?from=" + from + "&max=" + max + "&wait_ms=" + waitMs))
                .GET()
                .build();
        Exchange exchange = send(request, settings.requestTimeout().plusMillis(waitMs));
        if (exchange instanceof Exchange.NotSent notSent) {
            return new ReadResult.Unavailable(notSent.reason());
        }
        if (exchange instanceof Exchange.Lost lost) {
            return new ReadResult.Unavailable(lost.reason());
        }
        Exchange.Answered answered = (Exchange.Answered) exchange;
        return switch (answered.status()) {
            case STATUS_OK -> LogBodies.readResult(answered.body(), from);
            case STATUS_GONE -> LogBodies.expired(answered.body());
            default -> new ReadResult.Unavailable("log service answered status " + answered.status());
        };
    }

    private static AppendResult appendResult(Exchange.Answered answered) {
        int status = answered.status();
        if (status == STATUS_OK) {
            return LogBodies.appendResult(answered.body());
        }
        String reason = "log service answered status " + status;
        // A server error may come from something between here and the log, after the log stored the records.
        return status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR
                ? new AppendResult.Refused(reason)
                : new AppendResult.Uncertain(reason);
    }

    private URI uri(String stream, String query) {
        String name = URLEncoder.encode(stream, StandardCharsets.UTF_8);
        return URI.create("http://" + settings.address() + "/streams/" + name + "/records" + query);
    }

    /** The timeout covers the body too; the timeout of HttpRequest ends with the response head. */
    private Exchange send(HttpRequest request, Duration timeout) {
        CompletableFuture<HttpResponse<byte[]>> future =
                http.sendAsync(request, info -> new LimitedBodySubscriber(settings.maxResponseBytes()));
        try {
            HttpResponse<byte[]> response = future.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
            return new Exchange.Answered(response.statusCode(), response.body());
        } catch (ExecutionException e) {
            return failure(e.getCause());
        } catch (TimeoutException e) {
            future.cancel(true);
            return new Exchange.Lost("no complete answer within " + timeout.toMillis() + " ms");
        } catch (InterruptedException e) {
            future.cancel(true);
            Thread.currentThread().interrupt();
            return new Exchange.Lost("interrupted while waiting for the answer");
        }
    }

    private static Exchange failure(Throwable cause) {
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return new Exchange.NotSent("cannot connect to the log service: " + cause.getMessage());
        }
        return new Exchange.Lost("answer lost: " + cause);
    }

    /** What became of one HTTP request. */
    private sealed interface Exchange {

        /** No connection existed, so that nothing was sent. */
        record NotSent(String reason) implements Exchange {}

        /** The request was or may have been sent and no whole answer came. */
        record Lost(String reason) implements Exchange {}

        /** The whole answer arrived. */
        record Answered(int status, byte[] body) implements Exchange {}
    }
}
