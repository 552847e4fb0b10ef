package org.siskintiller.node.backend;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;

import org.siskintiller.core.gate.DispatchOutcome;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.node.request.Header;
import org.siskintiller.node.request.RequestHead;
import org.siskintiller.node.request.ResponseHead;
import org.siskintiller.node.request.Streams;

/** Sends requests to the backend server and classifies their outcomes. */
public final class BackendClient implements AutoCloseable {
    /** Larger responses are not stored for repeats of the same idempotency key. */
    static final int MAX_STORED_BODY_BYTES = 16 * 1024;

    private static final String REQUEST_ID_HEADER = "Siskin-Request-Id";
    private static final int FENCE_REJECTED_STATUS = 409;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(500);
    private static final int CONTROL_CONNECTIONS = 2;

    static {
        configureJdkClient();
    }

    /** Sets the system properties of the JDK HTTP client. Must run before its first use in the process. */
    public static void configureJdkClient() {
        // By default, the JDK client retries a GET on a broken connection, which could execute a request twice.
        System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        // Idle connections are closed before the backend server closes them, which could fail a new request.
        System.setProperty("jdk.httpclient.keepalive.timeout", "5");
    }

    private final HttpClient client;
    private final ExecutorService threads;
    private final ScheduledThreadPoolExecutor deadlines;
    private final Semaphore connections;
    private final LongSupplier clockNs;
    private volatile Address address;

    public BackendClient(BackendServer backendServer, LongSupplier clockNs) {
        this.clockNs = clockNs;
        this.address = backendServer.address();
        this.connections = new Semaphore(Math.max(1, backendServer.connections() - CONTROL_CONNECTIONS), true);
        this.threads = Executors.newCachedThreadPool(task -> daemon(task, "backend-client"));
        this.deadlines = new ScheduledThreadPoolExecutor(1, task -> daemon(task, "backend-deadlines"));
        deadlines.setRemoveOnCancelPolicy(true);
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .followRedirects(HttpClient.Redirect.NEVER)
                .executor(threads)
                .build();
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Sends later requests to this address, for a backend server that was restarted on another port. */
    public void setAddress(Address newAddress) {
        address = newAddress;
    }

    /** Executes one call on the calling thread. Starts the sink only with a response of the backend server. */
    public DispatchOutcome call(BackendCall call) {
        boolean acquired = false;
        try {
            acquired = connections.tryAcquire(Math.max(0, remainingNs(call)), TimeUnit.NANOSECONDS);
            if (!acquired) {
                return new DispatchOutcome.NotRun("no connection to the backend server became free");
            }
            return exchange(call);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new DispatchOutcome.Broken("the companion stops");
        } finally {
            if (acquired) {
                connections.release();
            }
        }
    }

    private DispatchOutcome exchange(BackendCall call) throws InterruptedException {
        HttpRequest request;
        try {
            request = buildRequest(call);
        } catch (IllegalArgumentException e) {
            return new DispatchOutcome.NotRun("the request cannot be expressed: " + e.getMessage());
        }
        if (call.cancel().isCancelled() || !call.mayDispatch().getAsBoolean()) {
            return new DispatchOutcome.NotRun("lease, slot or deadline was lost before the request was written");
        }
        long startNs = clockNs.getAsLong();
        CompletableFuture<HttpResponse<InputStream>> pending = client.sendAsync(request, BodyHandlers.ofInputStream());
        call.cancel().onCancel(() -> pending.cancel(true));
        try {
            HttpResponse<InputStream> response = pending.get(Math.max(1, remainingNs(call)), TimeUnit.NANOSECONDS);
            call.onResponseStarted().run();
            return receive(call, response, startNs);
        } catch (TimeoutException e) {
            pending.cancel(true);
            cancelAtBackend(call.head().id());
            return new DispatchOutcome.TimedOut();
        } catch (CancellationException e) {
            cancelAtBackend(call.head().id());
            return new DispatchOutcome.TimedOut();
        } catch (ExecutionException e) {
            return classifyFailure(call, e.getCause());
        }
    }

    private DispatchOutcome classifyFailure(BackendCall call, Throwable cause) {
        if (call.body().failed()) {
            // The caller's body was truncated, so the failure must not count as a crash of the backend server.
            cancelAtBackend(call.head().id());
            return new DispatchOutcome.TimedOut();
        }
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return new DispatchOutcome.NotRun("cannot connect to the backend server");
        }
        if (cause instanceof HttpTimeoutException) {
            return new DispatchOutcome.TimedOut();
        }
        return new DispatchOutcome.Broken("connection to the backend server broke: " + cause.getMessage());
    }

    private DispatchOutcome receive(BackendCall call, HttpResponse<InputStream> response, long startNs) {
        String id = response.headers().firstValue(REQUEST_ID_HEADER).orElse("");
        boolean idMatches = id.equals(call.head().id().toString());
        // Closing a body before its end closes the connection.
        try (InputStream body = response.body()) {
            boolean notRun =
                    response.headers().firstValue("Siskin-Outcome").orElse("").equals("not-run");
            // A repeated response to an earlier request must not count; without an id it cannot be told from one.
            if (!idMatches && (notRun || !id.isEmpty())) {
                return new DispatchOutcome.Broken("the response has the id '" + id + "' of another request or none");
            }
            if (notRun) {
                return new DispatchOutcome.NotRun(
                        "the backend server answered " + response.statusCode() + " not-run",
                        response.statusCode() == FENCE_REJECTED_STATUS);
            }
            boolean chunked = response.headers().firstValue("Transfer-Encoding").isPresent();
            long length = response.headers().firstValueAsLong("Content-Length").orElse(chunked ? -1 : 0);
            boolean hasNoBody =
                    call.head().method().equals("HEAD") || response.statusCode() == 204 || response.statusCode() == 304;
            if (!hasNoBody
                    && !chunked
                    && response.headers().firstValue("Content-Length").isEmpty()) {
                return new DispatchOutcome.Broken("the answer has no length, so a cut could not be seen");
            }
            call.cancel().onCancel(() -> closeQuietly(body));
            return copyUntilDeadline(call, response, body, hasNoBody ? 0 : length, startNs);
        } catch (IOException e) {
            return call.cancel().isCancelled() || remainingNs(call) <= 0
                    ? new DispatchOutcome.TimedOut()
                    : new DispatchOutcome.Broken("the answer was cut: " + e.getMessage());
        }
    }

    /** A body may have no end, so it is closed at the deadline. */
    private DispatchOutcome copyUntilDeadline(
            BackendCall call, HttpResponse<InputStream> response, InputStream body, long length, long startNs)
            throws IOException {
        Future<?> deadline =
                deadlines.schedule(() -> closeQuietly(body), Math.max(0, remainingNs(call)), TimeUnit.NANOSECONDS);
        try {
            return copyToSink(call, response, body, length, startNs);
        } finally {
            deadline.cancel(false);
        }
    }

    private DispatchOutcome copyToSink(
            BackendCall call, HttpResponse<InputStream> response, InputStream body, long length, long startNs)
            throws IOException {
        StoredBody stored = new StoredBody(call.storeResponse());
        try {
            Streams.copy(
                    body, stored.tee(start(call, new ResponseHead(response.statusCode(), headers(response), length))));
        } catch (Streams.TargetLostException e) {
            call.sink().abort("the caller is gone");
            // The request was executed. A short response is read to its end, so that a repeat receives it in full.
            stored.readRest(body);
        }
        long durationNs = clockNs.getAsLong() - startNs;
        String contentType = response.headers().firstValue("Content-Type").orElse("application/octet-stream");
        return new DispatchOutcome.Answered(
                response.statusCode(), stored.isEmptyResponse() ? "" : contentType, stored.bytes(), durationNs);
    }

    private static OutputStream start(BackendCall call, ResponseHead head) throws IOException {
        try {
            return call.sink().start(head);
        } catch (IOException e) {
            throw new Streams.TargetLostException(e);
        }
    }

    private static List<Header> headers(HttpResponse<?> response) {
        List<Header> headers = new ArrayList<>();
        response.headers().map().forEach((name, values) -> {
            for (String value : values) {
                headers.add(new Header(name, value));
            }
        });
        return headers;
    }

    private HttpRequest buildRequest(BackendCall call) {
        RequestHead head = call.head();
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri(head.path()))
                .timeout(Duration.ofNanos(Math.max(1_000_000, remainingNs(call))))
                .method(head.method(), publisher(call));
        for (Header header : head.headers()) {
            builder.header(header.name(), header.value());
        }
        builder.setHeader(REQUEST_ID_HEADER, head.id().toString());
        builder.setHeader("Siskin-Deadline-Ms", Long.toString(Math.max(1, remainingNs(call) / 1_000_000)));
        if (call.slot() >= 0) {
            builder.setHeader("Siskin-Slot", Integer.toString(call.slot()));
        }
        if (call.fence() != null) {
            builder.setHeader(
                    "Siskin-Fence", call.fence().version() + "." + call.fence().candidateIndex());
        }
        setIfPresent(builder, "Siskin-Key", head.key());
        setIfPresent(builder, "Siskin-Customer", head.customer());
        setIfPresent(builder, "Siskin-Rank", call.rank());
        setIfPresent(builder, "Idempotency-Key", head.idempotencyKey());
        return builder.build();
    }

    private static void setIfPresent(HttpRequest.Builder builder, String name, String value) {
        if (value != null && !value.isEmpty()) {
            builder.setHeader(name, value);
        }
    }

    private static BodyPublisher publisher(BackendCall call) {
        if (!call.head().hasBody()) {
            return BodyPublishers.noBody();
        }
        BodyPublisher stream = BodyPublishers.ofInputStream(call::body);
        return call.head().contentLength() < 0
                ? stream
                : BodyPublishers.fromPublisher(stream, call.head().contentLength());
    }

    private URI uri(String path) {
        return URI.create("http://" + address + path);
    }

    /** Requests the backend server to cancel a request and ignores the response. */
    public void cancelAtBackend(RequestId id) {
        if (threads.isShutdown()) {
            return;
        }
        client.sendAsync(
                HttpRequest.newBuilder(uri("/requests/" + id))
                        .timeout(CONTROL_TIMEOUT)
                        .DELETE()
                        .build(),
                BodyHandlers.discarding());
    }

    /** Sends a control request. The future returns the response body, or fails unless the status is 200. */
    CompletableFuture<String> control(String method, String path, String json) {
        HttpRequest request = HttpRequest.newBuilder(uri(path))
                .timeout(CONTROL_TIMEOUT)
                .header("Content-Type", "application/json")
                .method(method, json.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(json))
                .build();
        if (threads.isShutdown()) {
            return CompletableFuture.failedFuture(new IllegalStateException("the companion is stopping"));
        }
        return client.sendAsync(request, BodyHandlers.ofString()).thenApply(response -> {
            if (response.statusCode() != 200) {
                throw new IllegalStateException(method + " " + path + " returned status " + response.statusCode());
            }
            return response.body();
        });
    }

    private long remainingNs(BackendCall call) {
        return call.deadlineNs() - clockNs.getAsLong();
    }

    private static void closeQuietly(InputStream stream) {
        try {
            stream.close();
        } catch (IOException e) {
            // The stream is abandoned either way.
            return;
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
        deadlines.shutdownNow();
    }

    /** Copy of a response body up to {@link #MAX_STORED_BODY_BYTES}, for repeats of the request. */
    private static final class StoredBody {
        private ByteArrayOutputStream copy;

        StoredBody(boolean enabled) {
            copy = enabled ? new ByteArrayOutputStream() : null;
        }

        OutputStream tee(OutputStream out) {
            return new OutputStream() {
                @Override
                public void write(int b) throws IOException {
                    write(new byte[] {(byte) b}, 0, 1);
                }

                @Override
                public void write(byte[] bytes, int offset, int length) throws IOException {
                    // Stored first: a repeat gets the full response even if this caller has disconnected.
                    append(bytes, offset, length);
                    out.write(bytes, offset, length);
                }

                @Override
                public void flush() throws IOException {
                    out.flush();
                }
            };
        }

        private void append(byte[] bytes, int offset, int length) {
            if (copy == null) {
                return;
            }
            if (copy.size() + length > MAX_STORED_BODY_BYTES) {
                copy = null;
                return;
            }
            copy.write(bytes, offset, length);
        }

        /** Stores the part that the caller did not receive; stops once the response is too large to store. */
        void readRest(InputStream body) throws IOException {
            byte[] chunk = new byte[1024];
            while (copy != null) {
                int count = body.read(chunk);
                if (count < 0) {
                    return;
                }
                append(chunk, 0, count);
            }
        }

        /** Returns whether the response has no body; false if its body is not stored. */
        boolean isEmptyResponse() {
            return copy != null && copy.size() == 0;
        }

        Bytes bytes() {
            return copy == null ? Bytes.EMPTY : Bytes.copyOf(copy.toByteArray());
        }
    }
}
