package org.siskintiller.router.ingress;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.path.CallerLimits;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.request.ResponseHead;

import static com.google.common.truth.Truth.assertThat;

/** The path of a request selects what the handler does: /slow, /fast, /age, /stream, /cut and /never. */
class CallerServerTest {
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final long SLOW_MS = 300;
    private static final long STALL_MS = 500;
    private static final int MAX_HEADER_BYTES = 1_000;
    /** More than the buffers of both sockets hold. */
    private static final int LARGE_BYTES = 32 * 1024 * 1024;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final LoopLag lag = new LoopLag(loop, new MetricRegistry());
    private final AtomicInteger handled = new AtomicInteger();
    private final CountDownLatch callerDisconnected = new CountDownLatch(1);
    private final CallerServer server =
            new CallerServer(loop, lag, this::handle, () -> new CallerLimits(MAX_HEADER_BYTES, 10_000, 15_000));

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
    class Ordering {
        /** Guards against a response that reaches the caller in the place of an earlier one. */
        @Test
        void writesResponsesInTheOrderOfRequests() throws IOException {
            try (Socket socket = send(get("/slow") + get("/fast") + get("/slow") + get("/close"))) {
                assertThat(bodies(socket)).isEqualTo("[/slow][/fast][/slow]");
            }
        }

        /** Guards against an interim response in the middle of an earlier response, and against one that never comes. */
        @ParameterizedTest
        @ValueSource(strings = {"/slow", "/stream"})
        void asksForABodyWhenEarlierResponsesAreComplete(String earlier) throws IOException {
            String head = "POST /fast HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";
            try (Socket socket = send(get(earlier) + head)) {
                String received = readUntil(socket, "100 Continue");
                assertThat(received).contains("[" + earlier + "]");

                socket.getOutputStream().write("body".getBytes(StandardCharsets.UTF_8));
                assertThat(readUntil(socket, "[/fast]")).doesNotContain("100 Continue");
            }
        }

        /** Guards against an error for a later request that cuts off the responses to earlier ones. */
        @Test
        void respondsToEarlierRequestsBeforeAMalformedOne() throws IOException {
            try (Socket socket = send(get("/slow") + "GET / HTTP/1.1\r\nbad header\r\n\r\n")) {
                String received = readAll(socket);
                assertThat(received).contains("[/slow]");
                assertThat(received.indexOf("400 Bad Request")).isGreaterThan(received.indexOf("[/slow]"));
            }
        }
    }

    @Nested
    class Stopping {
        /** Guards against a planned stop that cuts the end of a response which its caller has not read yet. */
        @Test
        void deliversACompleteResponseToASlowReader() throws Exception {
            try (Socket socket = send(get("/large"))) {
                Thread.sleep(SLOW_MS);
                loop.execute(() -> {
                    server.stop();
                    server.closeIdle();
                });
                Thread.sleep(SLOW_MS);
                assertThat(server.unwrittenBytes()).isGreaterThan(0L);

                assertThat(socket.getInputStream().readNBytes(LARGE_BYTES)).hasLength(LARGE_BYTES);
            }
        }
    }

    @Nested
    class Stalling {
        /** Guards against requests that are forwarded after a stall although their callers have disconnected. */
        @Test
        void dropsARequestWhoseCallerDisconnectedDuringAStall() throws Exception {
            lag.start();
            loop.submit(() -> {}).get();
            stall();
            send(get("/never")).close();

            Thread.sleep(800);
            assertThat(handled.get()).isEqualTo(0);
        }

        /** Guards against a timeout that starts only when the request is read, so that its response is late. */
        @Test
        void countsTheTimeThatARequestWaitedUnread() throws Exception {
            lag.start();
            loop.submit(() -> {}).get();
            try (Socket socket = send(get("/age") + get("/close"))) {
                assertThat(age(bodies(socket))).isLessThan(STALL_MS / 2);
            }
            stall();
            try (Socket socket = send(get("/age") + get("/close"))) {
                assertThat(age(bodies(socket))).isAtLeast(STALL_MS / 2);
            }
            Thread.sleep(STALL_MS);
            try (Socket socket = send(get("/age") + get("/close"))) {
                assertThat(age(bodies(socket))).isLessThan(STALL_MS / 2);
            }
        }

        private long age(String body) {
            return Long.parseLong(body.replace("[", "").replace("]", "").trim());
        }
    }

    @Nested
    class Limiting {
        /** Guards against headers of unlimited size. */
        @Test
        void refusesLongHeaders() throws IOException {
            String padding = "x".repeat(MAX_HEADER_BYTES);
            try (Socket socket = send("GET /fast HTTP/1.1\r\nhost: a\r\npadding: " + padding + "\r\n\r\n")) {
                assertThat(readAll(socket)).startsWith("HTTP/1.1 431");
            }
        }

        @Test
        void refusesLongBodies() throws IOException {
            try (Socket socket =
                    send("POST /fast HTTP/1.1\r\nhost: a\r\ncontent-length: 20000\r\n\r\n" + "x".repeat(20_000))) {
                assertThat(readAll(socket)).startsWith("HTTP/1.1 413");
            }
        }

        /** Guards against callers that send a further request on a connection on which nothing is answered any more. */
        @ParameterizedTest
        @ValueSource(
                strings = {"bad header", "content-length: 20000", "content-length: 4\r\ntransfer-encoding: chunked"})
        void announcesTheEndOfTheConnection(String header) throws IOException {
            try (Socket socket = send("POST /fast HTTP/1.1\r\nhost: a\r\n" + header + "\r\n\r\n")) {
                assertThat(readAll(socket).toLowerCase(Locale.ROOT)).contains("\r\nconnection: close\r\n");
            }
        }

        /** Guards against request smuggling: a request hidden in the body of another one. */
        @Test
        void refusesTwoLengths() throws IOException {
            try (Socket socket = send("POST /fast HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"
                    + "transfer-encoding: chunked\r\n\r\n0\r\n\r\n")) {
                assertThat(readAll(socket)).startsWith("HTTP/1.1 400");
            }
        }
    }

    @Nested
    class Ending {
        /** Guards against an aborted response that looks complete. */
        @Test
        void leavesAnAbortedResponseIncomplete() throws IOException {
            try (Socket socket = send(get("/cut"))) {
                String received = readAll(socket);
                assertThat(received).contains("part");
                assertThat(received).doesNotContain("0\r\n\r\n");
            }
        }

        /** Guards against a backend server that runs on for a caller that has disconnected. */
        @Test
        void reportsThatTheCallerDisconnected() throws Exception {
            try (Socket socket = send(get("/never"))) {
                Thread.sleep(200);
                assertThat(callerDisconnected.getCount()).isEqualTo(1);
            }
            assertThat(callerDisconnected.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    .isTrue();
        }

        /** Guards against a stopping process that sends Connection: close and keeps the connection open. */
        @Test
        void closesAfterTheLastResponseOfAStop() throws Exception {
            try (Socket socket = send(get("/slow"))) {
                Thread.sleep(100);
                loop.submit(server::stop).get();
                String received = readAll(socket);
                assertThat(received).contains("connection: close");
                assertThat(received).contains("[/slow]");
            }
        }
    }

    private Runnable handle(CallerRequest request, CallerResponse response) {
        handled.incrementAndGet();
        switch (request.uri()) {
            case "/slow" -> loop.schedule(() -> respond(request, response), SLOW_MS, TimeUnit.MILLISECONDS);
            case "/cut" -> {
                response.start(new ResponseHead(200, List.of(), ResponseHead.UNKNOWN_LENGTH));
                response.data("part".getBytes(StandardCharsets.UTF_8), false);
                loop.schedule(response::abort, SLOW_MS, TimeUnit.MILLISECONDS);
            }
            case "/stream" -> {
                response.start(new ResponseHead(200, List.of(), ResponseHead.UNKNOWN_LENGTH));
                response.data("part ".getBytes(StandardCharsets.UTF_8), false);
                byte[] rest = "[/stream]".getBytes(StandardCharsets.UTF_8);
                loop.schedule(() -> response.data(rest, true), SLOW_MS, TimeUnit.MILLISECONDS);
            }
            case "/large" -> respond("x".repeat(LARGE_BYTES), response);
            case "/age" -> respond(String.valueOf((System.nanoTime() - request.arrivedNs()) / 1_000_000), response);
            case "/never" -> {
                return callerDisconnected::countDown;
            }
            default -> respond(request, response);
        }
        return () -> {};
    }

    /** Responds in parts, as responses of backend servers arrive. */
    private static void respond(CallerRequest request, CallerResponse response) {
        respond(request.uri(), response);
    }

    private static void respond(String text, CallerResponse response) {
        byte[] body = ("[" + text + "]").getBytes(StandardCharsets.UTF_8);
        response.start(new ResponseHead(200, List.of(), body.length));
        response.data(body, true);
    }

    /** Returns when the stall has begun. */
    private void stall() throws InterruptedException {
        CountDownLatch stalled = new CountDownLatch(1);
        loop.execute(() -> {
            stalled.countDown();
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STALL_MS));
        });
        stalled.await();
    }

    private Socket send(String bytes) throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
    }

    /** Reads until the response to /close, which marks the end. */
    private static String bodies(Socket socket) throws IOException {
        StringBuilder bodies = new StringBuilder();
        for (String line : readUntil(socket, "[/close]").split("HTTP/1.1")) {
            int at = line.indexOf('[');
            bodies.append(at < 0 || line.contains("[/close]") ? "" : line.substring(at));
        }
        return bodies.toString();
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int read = socket.getInputStream().read();
            if (read < 0) {
                throw new IOException("the connection ended after: " + text);
            }
            text.append((char) read);
        }
        return text.toString();
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
