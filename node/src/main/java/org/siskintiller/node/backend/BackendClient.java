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

/** Sends requests to the backend server and classifies how they end. */
public final class BackendClient implements AutoCloseable {
    /** Larger answers are not kept for repeats of the same idempotency key. */
    static final int MAX_KEPT_BODY_BYTES = 16 * 1024;

    private static final int FENCE_REFUSED_STATUS = 409;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(500);
    private static final int CONTROL_CONNECTIONS = 2;

    static {
        configureJdkClient();
    }

    /** Sets the JDK client's properties. Must run before the first use of any JDK HTTP client in the process. */
    public static void configureJdkClient() {
        // The JDK client repeats a GET on a broken connection by itself, which would run a request twice.
        System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        // Idle connections are dropped before a backend server would close them under a new request.
        System.setProperty("jdk.httpclient.keepalive.timeout", "5");
    }

    private final HttpClient client;
    private final ExecutorService threads;
    private final Semaphore connections;
    private final LongSupplier clockNs;
    private volatile Address address;

    public BackendClient(BackendServer backendServer, LongSupplier clockNs) {
        this.clockNs = clockNs;
        this.address = backendServer.address();
        this.connections = new Semaphore(Math.max(1, backendServer.connections() - CONTROL_CONNECTIONS), true);
        this.threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "backend-client");
            thread.setDaemon(true);
            return thread;
        });
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .followRedirects(HttpClient.Redirect.NEVER)
                .executor(threads)
                .build();
    }

    /** Follows a backend server that was restarted on another port. */
    public void setAddress(Address newAddress) {
        address = newAddress;
    }

    /** Carries out one call on the calling thread. Starts the sink only with an answer of the backend server. */
    public DispatchOutcome call(BackendCall call) {
        boolean permit = false;
        try {
            permit = connections.tryAcquire(Math.max(0, remainingNs(call)), TimeUnit.NANOSECONDS);
            if (!permit) {
                return new DispatchOutcome.NotRun("no connection to the backend server became free");
            }
            return exchange(call);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new DispatchOutcome.Broken("the companion stops");
        } finally {
            if (permit) {
                connections.release();
            }
        }
    }

    private DispatchOutcome exchange(BackendCall call) throws InterruptedException {
        HttpRequest request;
        try {
            request = request(call);
        } catch (IllegalArgumentException e) {
            return new DispatchOutcome.NotRun("the request cannot be expressed: " + e.getMessage());
        }
        if (call.cancel().isCancelled() || !call.mayDispatch().getAsBoolean()) {
            return new DispatchOutcome.NotRun("lease, slot or deadline was lost before the request was written");
        }
        long startNs = clockNs.getAsLong();
        CompletableFuture<HttpResponse<InputStream>> answer = client.sendAsync(request, BodyHandlers.ofInputStream());
        call.cancel().onCancel(() -> answer.cancel(true));
        try {
            HttpResponse<InputStream> response = answer.get(Math.max(1, remainingNs(call)), TimeUnit.NANOSECONDS);
            call.responseBegan().run();
            return receive(call, response, startNs);
        } catch (TimeoutException e) {
            answer.cancel(true);
            cancelAtBackend(call.head().id());
            return new DispatchOutcome.TimedOut();
        } catch (CancellationException e) {
            cancelAtBackend(call.head().id());
            return new DispatchOutcome.TimedOut();
        } catch (ExecutionException e) {
            return classify(call, e.getCause());
        }
    }

    private DispatchOutcome classify(BackendCall call, Throwable cause) {
        if (call.body().failed()) {
            // The backend server did nothing wrong; it got a cut body and must not be taken for a crashed one.
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
        try (InputStream body = response.body()) {
            if (response.headers().firstValue("Siskin-Outcome").orElse("").equals("not-run")) {
                return new DispatchOutcome.NotRun(
                        "the backend server answered " + response.statusCode() + " not-run",
                        response.statusCode() == FENCE_REFUSED_STATUS);
            }
            boolean chunked = response.headers().firstValue("Transfer-Encoding").isPresent();
            long length = response.headers().firstValueAsLong("Content-Length").orElse(chunked ? -1 : 0);
            boolean bodyless =
                    call.head().method().equals("HEAD") || response.statusCode() == 204 || response.statusCode() == 304;
            if (!bodyless
                    && !chunked
                    && response.headers().firstValue("Content-Length").isEmpty()) {
                return new DispatchOutcome.Broken("the answer has no length, so a cut could not be seen");
            }
            call.cancel().onCancel(() -> closeQuietly(body));
            return stream(call, response, body, bodyless ? 0 : length, startNs);
        } catch (IOException e) {
            return call.cancel().isCancelled()
                    ? new DispatchOutcome.TimedOut()
                    : new DispatchOutcome.Broken("the answer was cut: " + e.getMessage());
        }
    }

    private DispatchOutcome stream(
            BackendCall call, HttpResponse<InputStream> response, InputStream body, long length, long startNs)
            throws IOException {
        KeptBody kept = new KeptBody(call.keepBody());
        try {
            Streams.copy(
                    body, kept.tee(start(call, new ResponseHead(response.statusCode(), headers(response), length))));
        } catch (Streams.TargetLostException e) {
            call.sink().abort("the caller is gone");
            // The request ran. A short answer is read to its end, so that a repeat gets it whole.
            kept.readRest(body);
        }
        long durationNs = clockNs.getAsLong() - startNs;
        String contentType = response.headers().firstValue("Content-Type").orElse("application/octet-stream");
        return new DispatchOutcome.Answered(
                response.statusCode(), kept.isEmptyAnswer() ? "" : contentType, kept.bytes(), durationNs);
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

    private HttpRequest request(BackendCall call) {
        RequestHead head = call.head();
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri(head.path()))
                .timeout(Duration.ofNanos(Math.max(1_000_000, remainingNs(call))))
                .method(head.method(), publisher(call));
        for (Header header : head.headers()) {
            builder.header(header.name(), header.value());
        }
        builder.setHeader("Siskin-Request-Id", head.id().toString());
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

    /** Asks the backend server to stop a request. Its answer does not matter. */
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

    /** Sends a control request and returns the body, or fails the future. */
    CompletableFuture<String> control(String method, String path, String json) {
        HttpRequest request = HttpRequest.newBuilder(uri(path))
                .timeout(CONTROL_TIMEOUT)
                .header("Content-Type", "application/json")
                .method(method, json.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(json))
                .build();
        if (threads.isShutdown()) {
            return CompletableFuture.failedFuture(new IllegalStateException("the companion stops"));
        }
        return client.sendAsync(request, BodyHandlers.ofString()).thenApply(response -> {
            if (response.statusCode() != 200) {
                throw new IllegalStateException(method + " " + path + " answered " + response.statusCode());
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
            // The stream is given up either way.
            return;
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }

    /** Copy of a small answer for repeats of the request. */
    private static final class KeptBody {
        private ByteArrayOutputStream kept;

        KeptBody(boolean keep) {
            kept = keep ? new ByteArrayOutputStream() : null;
        }

        OutputStream tee(OutputStream out) {
            return new OutputStream() {
                @Override
                public void write(int b) throws IOException {
                    write(new byte[] {(byte) b}, 0, 1);
                }

                @Override
                public void write(byte[] bytes, int offset, int length) throws IOException {
                    // Kept first: the answer is complete for a repeat even if this caller is gone.
                    keep(bytes, offset, length);
                    out.write(bytes, offset, length);
                }

                @Override
                public void flush() throws IOException {
                    out.flush();
                }
            };
        }

        private void keep(byte[] bytes, int offset, int length) {
            if (kept == null) {
                return;
            }
            if (kept.size() + length > MAX_KEPT_BODY_BYTES) {
                kept = null;
                return;
            }
            kept.write(bytes, offset, length);
        }

        /** Reads what the caller did not get, as far as the answer is kept at all. */
        void readRest(InputStream body) throws IOException {
            byte[] chunk = new byte[1024];
            while (kept != null) {
                int count = body.read(chunk);
                if (count < 0) {
                    return;
                }
                keep(chunk, 0, count);
            }
        }

        /** Whether the answer had no body, unlike one whose body is not kept. */
        boolean isEmptyAnswer() {
            return kept != null && kept.size() == 0;
        }

        Bytes bytes() {
            return kept == null ? Bytes.EMPTY : Bytes.copyOf(kept.toByteArray());
        }
    }
}
