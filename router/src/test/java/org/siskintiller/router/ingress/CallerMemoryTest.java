package org.siskintiller.router.ingress;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.path.CallerLimits;
import org.siskintiller.core.path.RequestMemory;
import org.siskintiller.core.path.UnreadResponses;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.request.ResponseHead;

import static com.google.common.truth.Truth.assertThat;

/**
 * Callers that send large bodies and read slowly. Requests to /large get a large response, /never none, and /held one
 * when the test writes it.
 */
class CallerMemoryTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final int REQUEST_LIMIT_BYTES = 80_000;
    /** More than the buffers of both sockets hold. */
    private static final int LARGE_BYTES = 32 * 1024 * 1024;

    private static final long IDLE_MS = 500;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final LoopLag lag = new LoopLag(loop, new MetricRegistry());
    private final AtomicInteger handled = new AtomicInteger();
    /** Responses to the requests for "/held". */
    private final List<CallerResponse> held = new CopyOnWriteArrayList<>();

    private final UnreadResponses<CallerConnection> unread = new UnreadResponses<>(LARGE_BYTES / 2);
    private final BufferMemory memory =
            new BufferMemory(loop, new MetricRegistry(), new RequestMemory(REQUEST_LIMIT_BYTES), unread);
    private final CallerServer server =
            new CallerServer(loop, lag, this::handle, () -> new CallerLimits(1_000, 1 << 20, IDLE_MS), memory);

    @BeforeEach
    void bind() throws IOException {
        server.bind(new Address("127.0.0.1", 0));
    }

    @AfterEach
    void close() {
        server.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Nested
    class Bodies {
        /** Guards against bodies that are read without memory for them. The second caller has sent nothing of its body. */
        @Test
        void areRefusedBeforeTheyAreRead() throws Exception {
            try (Socket first = send(post("/never", 60_000) + "x".repeat(60_000))) {
                await(() -> handled.get() == 1);
                try (Socket second = send(post("/fast", 60_000))) {
                    assertRefused(second);
                }
                first.close();
                await(() -> heldBytes() == 0);
            }
        }

        /** Guards against the rest of a refused body that is taken for a request. */
        @Test
        void ofUnknownLengthAreRefusedAndNotReadOn() throws Exception {
            String chunk = "c350\r\n" + "x".repeat(50_000) + "\r\n";
            String hidden = "GET /hidden HTTP/1.1\r\nhost: a\r\n\r\n";
            try (Socket caller = send("POST /fast HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" + chunk
                    + chunk + "0\r\n\r\n" + hidden)) {
                assertRefused(caller);
            }
            assertThat(handled.get()).isEqualTo(0);
            await(() -> heldBytes() == 0);
        }

        /** Guards against memory that is reserved for a caller that has stopped in the middle of its body. */
        @Test
        void thatStallAreRejected() throws Exception {
            try (Socket caller = send(post("/fast", 60_000) + "x")) {
                assertThat(readAll(caller)).startsWith("HTTP/1.1 408");
                await(() -> heldBytes() == 0);
            }
        }

        /** Guards against memory that is not released after a response. */
        @Test
        void releaseTheirMemory() throws Exception {
            try (Socket caller = send("")) {
                for (int i = 0; i < 5; i++) {
                    String request = post("/fast", 60_000) + "x".repeat(60_000);
                    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                    int sent = i + 1;
                    await(() -> handled.get() == sent && heldBytes() == 0);
                }
            }
        }
    }

    @Nested
    class SlowReaders {
        /** Guards against buffers that grow with each caller that does not read. */
        @Test
        void useTheMemoryUntilTheyRead() throws Exception {
            try (Socket slow = send("GET /large HTTP/1.1\r\nhost: a\r\n\r\n")) {
                await(() -> handled.get() == 1);
                try (Socket other = send("GET /fast HTTP/1.1\r\nhost: a\r\n\r\n")) {
                    assertRefused(other);
                }
                assertThat(slow.getInputStream().readNBytes(LARGE_BYTES)).hasLength(LARGE_BYTES);
            }
            try (Socket other = send("GET /fast HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")) {
                await(() -> handled.get() == 2);
            }
        }
    }

    @Nested
    class ClosingConnections {
        /** Guards against responses that can't be written any more, but hold memory until the caller closes the connection. */
        @Test
        void holdNoResponsesBehindACutOne() throws Exception {
            try (Socket caller = send(get("/fast") + get("/held") + get("/held"))) {
                await(() -> held.size() == 2);
                loop.submit(() -> respond(held.get(1))).get();
                assertThat(unreadBytes()).isEqualTo(LARGE_BYTES);
                loop.submit(() -> cut(held.get(0))).get();

                await(() -> unreadBytes() == 0);
                assertThat(loop.submit(server::openConnections).get()).isEqualTo(1);
            }
        }
    }

    private Runnable handle(CallerRequest request, CallerResponse response) {
        handled.incrementAndGet();
        if (request.uri().equals("/held")) {
            held.add(response);
            return () -> {};
        }
        if (!request.uri().equals("/never")) {
            response.send(200, List.of(), new byte[request.uri().equals("/large") ? LARGE_BYTES : 0]);
        }
        return () -> {};
    }

    private static void respond(CallerResponse response) {
        response.send(200, List.of(), new byte[LARGE_BYTES]);
    }

    private static void cut(CallerResponse response) {
        response.start(new ResponseHead(200, List.of(), 1_000));
        response.data(new byte[10], false);
        response.abort();
    }

    private long unreadBytes() throws Exception {
        return loop.submit(unread::totalBytes).get();
    }

    private long heldBytes() throws Exception {
        return loop.submit(() -> memory.requests().heldBytes()).get();
    }

    private static void assertRefused(Socket caller) throws IOException {
        String response = readAll(caller);
        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(response).contains("Retry-After: 0.");
    }

    private Socket send(String bytes) throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(TIMEOUT_MS);
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
    }

    private static String post(String path, int bytes) {
        return "POST " + path + " HTTP/1.1\r\nhost: a\r\ncontent-length: " + bytes + "\r\n\r\n";
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static void await(Condition condition) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.holds()) {
            assertThat(System.nanoTime()).isLessThan(deadlineNs);
            Thread.sleep(10);
        }
    }

    private interface Condition {
        boolean holds() throws Exception;
    }
}
