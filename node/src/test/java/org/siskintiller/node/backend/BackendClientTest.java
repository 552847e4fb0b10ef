package org.siskintiller.node.backend;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.siskintiller.core.gate.DispatchOutcome;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.BackendServer;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.node.request.Problem;
import org.siskintiller.node.request.RequestHead;
import org.siskintiller.node.request.ResponseHead;
import org.siskintiller.node.request.ResponseSink;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Responses of a faulty backend server. */
class BackendClientTest {
    private static final RequestId FIRST = new RequestId(1, 1);
    private static final RequestId SECOND = new RequestId(2, 2);
    /** A client that reads this much reads without limit. */
    private static final int ENDLESS_BYTES = 16 * 1024 * 1024;

    private static final String PADDING = "x".repeat(1_000);
    private static final long DEADLINE_NS = TimeUnit.SECONDS.toNanos(2);

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private BackendClient client;

    BackendClientTest() throws IOException {}

    @BeforeEach
    void create() {
        Address address = new Address("127.0.0.1", server.getLocalPort());
        client = new BackendClient(new BackendServer("service", address, 4, 10), System::nanoTime);
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
    }

    @Nested
    class RepeatedRefusal {
        /** Guards against "not run" for a request that runs while the refusal of an earlier one is repeated. */
        @Test
        void isNotTakenForTheResponseToTheNextRequest() {
            serve(refusal(FIRST), refusal(FIRST));

            assertThat(call(FIRST)).isInstanceOf(DispatchOutcome.NotRun.class);
            assertThat(call(SECOND)).isInstanceOf(DispatchOutcome.Broken.class);
        }

        /** As above for a refusal without an id. */
        @Test
        void provesNothingWithoutAnId() {
            serve(refusal(FIRST), "HTTP/1.1 503 Full\r\nSiskin-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");

            assertThat(call(FIRST)).isInstanceOf(DispatchOutcome.NotRun.class);
            assertThat(call(SECOND)).isInstanceOf(DispatchOutcome.Broken.class);
        }

        /** Guards against a response that reaches the caller of another request. */
        @Test
        void doesNotPassOnTheResponseToAnotherRequest() {
            serve(success(FIRST, "ran"), success(FIRST, "ran"));

            assertThat(call(FIRST)).isInstanceOf(DispatchOutcome.Answered.class);
            assertThat(call(SECOND)).isInstanceOf(DispatchOutcome.Broken.class);
        }
    }

    @Nested
    class TruncatedResponse {
        private volatile String truncated = "";

        /** Guards against a response that was cut in its head or body and reaches the caller as a complete one. */
        @Test
        void isNeverComplete() {
            Thread thread = new Thread(this::serveTruncated);
            thread.setDaemon(true);
            thread.start();
            String whole = success(FIRST, "whole");
            for (int length = 0; length < whole.length(); length++) {
                truncated = whole.substring(0, length);
                assertWithMessage("%s of %s bytes", length, whole.length())
                        .that(call(FIRST))
                        .isInstanceOf(DispatchOutcome.Broken.class);
            }
        }

        /** Gives each connection the same bytes: the JDK client may repeat a request that got none. */
        private void serveTruncated() {
            try {
                while (true) {
                    try (Socket connection = server.accept()) {
                        readHead(connection.getInputStream());
                        connection.getOutputStream().write(truncated.getBytes(StandardCharsets.US_ASCII));
                        connection.shutdownOutput();
                        connection.getInputStream().readAllBytes();
                    }
                }
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    @Nested
    class EndlessBytes {
        /** Guards against a head of unlimited size. */
        @Test
        void inTheHeadFailTheRequest() {
            serveEndlessly("HTTP/1.1 200 OK\r\n", "padding: " + PADDING + "\r\n");

            assertThat(call(FIRST)).isInstanceOf(DispatchOutcome.Broken.class);
        }

        /** Guards against a status line of unlimited length. */
        @Test
        void inTheStatusLineFailTheRequest() {
            serveEndlessly("HTTP/1.1 200 ", PADDING);

            assertThat(call(FIRST)).isInstanceOf(DispatchOutcome.Broken.class);
        }

        /** Guards against a response that is read after the deadline of its request. */
        @Test
        @Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
        void inTheBodyEndAtTheDeadline() {
            serveEndlessly(
                    "HTTP/1.1 200 OK\r\nSiskin-Request-Id: " + FIRST + "\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "3e8\r\n" + PADDING + "\r\n");

            assertThat(call(FIRST)).isInstanceOf(DispatchOutcome.TimedOut.class);
        }

        /** Guards against a refusal that waits for the end of its body. */
        @Test
        @Timeout(value = 10, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
        void inTheBodyOfARefusalDoNotDelayIt() {
            serveEndlessly(
                    "HTTP/1.1 503 Full\r\nSiskin-Request-Id: " + FIRST
                            + "\r\nSiskin-Outcome: not-run\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "3e8\r\n" + PADDING + "\r\n");

            assertThat(call(FIRST)).isInstanceOf(DispatchOutcome.NotRun.class);
        }
    }

    /** Responds to one request with the start, then with the rest again and again until the client closes. */
    private void serveEndlessly(String start, String rest) {
        Thread thread = new Thread(() -> {
            try (Socket connection = server.accept()) {
                readHead(connection.getInputStream());
                connection.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
                for (int written = 0; written < ENDLESS_BYTES; written += rest.length()) {
                    connection.getOutputStream().write(rest.getBytes(StandardCharsets.US_ASCII));
                }
                connection.getInputStream().readAllBytes();
            } catch (IOException e) {
                // The client closed the connection, or the test has ended.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Responds to one request after the other with the texts, then ends the connection. The client may open a second
     * connection, as it reuses the first one only some time after the response.
     */
    private void serve(String... responses) {
        Queue<String> script = new ConcurrentLinkedQueue<>(List.of(responses));
        startThread(() -> {
            try {
                while (true) {
                    Socket connection = server.accept();
                    startThread(() -> respond(connection, script));
                }
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        });
    }

    private static void respond(Socket connection, Queue<String> script) {
        try (connection) {
            while (!script.isEmpty() && readHead(connection.getInputStream())) {
                connection.getOutputStream().write(script.remove().getBytes(StandardCharsets.US_ASCII));
            }
            connection.shutdownOutput();
            connection.getInputStream().readAllBytes();
        } catch (IOException e) {
            // The client closed the connection, or the test has ended.
            return;
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads the head of a request and returns whether there is one. */
    private static boolean readHead(InputStream input) throws IOException {
        StringBuilder received = new StringBuilder();
        int next = input.read();
        while (next >= 0) {
            received.append((char) next);
            if (received.indexOf("\r\n\r\n") >= 0) {
                return true;
            }
            next = input.read();
        }
        return false;
    }

    private DispatchOutcome call(RequestId id) {
        RequestHead head =
                new RequestHead(id, "GET", "service", "/", List.of(), null, "customer", null, null, false, 0, 0);
        return client.call(new BackendCall(
                head,
                new CallerBody(InputStream.nullInputStream(), () -> {}),
                new DiscardingSink(),
                -1,
                null,
                "rank",
                System.nanoTime() + DEADLINE_NS,
                () -> true,
                () -> {},
                false,
                new CancellationSignal()));
    }

    private static String success(RequestId id, String body) {
        return "HTTP/1.1 200 OK\r\nSiskin-Request-Id: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    private static String refusal(RequestId id) {
        return "HTTP/1.1 503 Full\r\nSiskin-Request-Id: " + id
                + "\r\nSiskin-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
    }

    private static final class DiscardingSink implements ResponseSink {
        @Override
        public OutputStream start(ResponseHead head) {
            return OutputStream.nullOutputStream();
        }

        @Override
        public void finish() {}

        @Override
        public void abort(String reason) {}

        @Override
        public void refuse(Problem problem) {}

        @Override
        public boolean started() {
            return false;
        }

        @Override
        public boolean aborted() {
            return false;
        }
    }
}
