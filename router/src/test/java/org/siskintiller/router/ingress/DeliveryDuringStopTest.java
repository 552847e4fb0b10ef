package org.siskintiller.router.ingress;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.path.CallerLimits;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.SlowLink;
import org.siskintiller.router.request.ResponseHead;

import static com.google.common.truth.Truth.assertThat;

/** Responses of a process that stops, over a link that takes seconds for them. The path of a request is the size of its response. */
class DeliveryDuringStopTest {
    private static final int READ_TIMEOUT_MS = 10_000;
    /** Time that the responses of one test take together on the link. */
    private static final int TRANSFER_S = 2;

    /** More than the connection decodes once it accepts no further request. */
    private static final int MANY_REQUESTS = 20_000;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final LoopLag lag = new LoopLag(loop, new MetricRegistry());
    private final AtomicInteger handled = new AtomicInteger();
    private final CallerServer server = new CallerServer(loop, lag, this::handle, () -> CallerLimits.INITIAL);
    /** Paths of the requests that were ended without a response. */
    private final List<String> ended = new ArrayList<>();
    /** Response to the request for "/later". */
    private volatile CallerResponse later;

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
    class OneCaller {
        /** Guards against a connection that is closed while bytes of its last response wait for the link. */
        @ParameterizedTest
        @ValueSource(ints = {10_000, 100_000, 1_000_000, 8_000_000})
        void receivesTheWholeResponse(int bytes) throws Exception {
            try (SlowLink link = new SlowLink(server.port(), bytes / TRANSFER_S);
                    Socket caller = connect(link)) {
                stop();
                request(caller, bytes);
                closeIdleAfter(1);

                assertThat(readBody(caller, bytes)).isEqualTo(bytes);
                assertThat(caller.getInputStream().read()).isEqualTo(-1);
            }
        }

        /** Guards against a reset that discards a response, because a request behind it arrives after the close. */
        @ParameterizedTest
        @ValueSource(ints = {10_000, 100_000, 1_000_000, 8_000_000})
        void receivesTheWholeResponseAheadOfAnotherRequest(int bytes) throws Exception {
            try (SlowLink link = new SlowLink(server.port(), bytes / TRANSFER_S);
                    Socket caller = connect(link)) {
                stop();
                request(caller, bytes);
                closeIdleAfter(1);
                Thread.sleep(TRANSFER_S * 1_000 / 2);
                request(caller, bytes);

                assertThat(readBody(caller, bytes)).isEqualTo(bytes);
            }
        }

        /** Guards against the same by the limit of the codec for requests without a response. */
        @Test
        void receivesTheWholeResponseAheadOfManyRequests() throws Exception {
            int bytes = 1_000_000;
            try (SlowLink link = new SlowLink(server.port(), bytes / TRANSFER_S);
                    Socket caller = connect(link)) {
                stop();
                request(caller, bytes);
                closeIdleAfter(1);
                for (int i = 0; i < MANY_REQUESTS; i++) {
                    request(caller, 10);
                }

                assertThat(readBody(caller, bytes)).isEqualTo(bytes);
                assertThat(caller.getInputStream().read()).isEqualTo(-1);
            }
        }

        /** Guards against the loss of a complete response when the one behind it cannot be completed. */
        @Test
        void receivesTheResponseAheadOfACutOne() throws Exception {
            int bytes = 8_000_000;
            try (SlowLink link = new SlowLink(server.port(), bytes / TRANSFER_S);
                    Socket caller = connect(link)) {
                request(caller, bytes);
                get(caller, "/cut");

                assertThat(readBody(caller, bytes)).isEqualTo(bytes);
            }
        }
    }

    @Nested
    class CutResponse {
        /** Guards against a reset that discards a response of which the socket has taken all bytes. */
        @ParameterizedTest
        @ValueSource(ints = {10_000, 100_000, 1_000_000})
        void sparesTheResponseAheadOfItWhenAnotherRequestArrives(int bytes) throws Exception {
            try (SlowLink link = new SlowLink(server.port(), bytes / TRANSFER_S);
                    Socket caller = connect(link)) {
                request(caller, bytes);
                awaitRequests(1);
                get(caller, "/cut");
                awaitRequests(2);
                request(caller, bytes);

                assertThat(readBody(caller, bytes)).isEqualTo(bytes);
            }
        }

        /** Guards against requests that are worked on, and sent again, although their responses cannot be written. */
        @Test
        void endsTheRequestsBehindItAtOnce() throws Exception {
            int bytes = 8_000_000;
            try (SlowLink link = new SlowLink(server.port(), bytes / TRANSFER_S);
                    Socket caller = connect(link)) {
                request(caller, bytes);
                get(caller, "/later");
                get(caller, "/open");
                awaitRequests(3);
                loop.submit(() -> cut(later)).get();

                assertThat(loop.submit(() -> ended).get()).containsExactly("/open");
                assertThat(readBody(caller, bytes)).isEqualTo(bytes);
            }
        }
    }

    @Nested
    class SeveralCallers {
        /** Guards against responses that are cut because those of other callers fill the link. */
        @Test
        void receiveTheirWholeResponses() throws Exception {
            int[] sizes = {10_000, 100_000, 540_000, 2_000_000, 6_000_000};
            List<Socket> callers = new ArrayList<>();
            try (SlowLink link = new SlowLink(server.port(), 8_650_000 / TRANSFER_S)) {
                for (int size : sizes) {
                    callers.add(connect(link));
                    request(callers.get(callers.size() - 1), size);
                }
                stop();
                closeIdleAfter(sizes.length);
                List<Thread> readers = new ArrayList<>();
                int[] received = new int[sizes.length];
                for (int i = 0; i < sizes.length; i++) {
                    int index = i;
                    Thread reader = new Thread(() -> received[index] = readBody(callers.get(index), sizes[index]));
                    reader.start();
                    readers.add(reader);
                }
                for (Thread reader : readers) {
                    reader.join();
                }

                assertThat(received).isEqualTo(sizes);
            }
            for (Socket caller : callers) {
                caller.close();
            }
        }
    }

    @Nested
    class QuietConnection {
        /** Guards against a stop that waits for callers which have had their responses long before. */
        @Test
        void isClosedAtOnce() throws Exception {
            try (Socket caller = new Socket("127.0.0.1", server.port())) {
                caller.setSoTimeout(READ_TIMEOUT_MS);
                request(caller, 10);
                assertThat(readBody(caller, 10)).isEqualTo(10);
                stop();
                closeIdleAfter(1);

                assertThat(loop.submit(server::openConnections).get()).isEqualTo(0);
            }
        }

        /** Guards against a stop that waits for a caller which has sent nothing, and against a request of it that is discarded. */
        @Test
        void isClosedAtOnceWithoutARequest() throws Exception {
            stop();
            try (Socket caller = new Socket("127.0.0.1", server.port())) {
                while (loop.submit(server::openConnections).get() == 0) {
                    Thread.sleep(1);
                }
                loop.submit(server::closeIdle).get();

                assertThat(loop.submit(server::openConnections).get()).isEqualTo(0);
            }
        }

        /** Guards against a caller that may send a request on a connection whose requests are discarded. */
        @Test
        void endsBehindAResponseThatWasBegunBeforeTheStop() throws Exception {
            try (Socket caller = new Socket("127.0.0.1", server.port())) {
                caller.setSoTimeout(READ_TIMEOUT_MS);
                get(caller, "/later");
                awaitRequests(1);
                loop.submit(() -> later.start(new ResponseHead(200, List.of(), 4)))
                        .get();
                stop();
                loop.submit(() -> later.data(new byte[4], true)).get();

                assertThat(readBody(caller, 4)).isEqualTo(4);
                assertThat(caller.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    @Nested
    class IdleTimeout {
        private static final int IDLE_MS = 1_000;
        private static final int SERVICE_MS = 700;

        private final CallerServer idleServer = new CallerServer(
                loop, lag, DeliveryDuringStopTest.this::handle, () -> new CallerLimits(16_384, 1 << 20, IDLE_MS));

        /** Guards against a connection that is closed while its caller may still use it, since its response took long. */
        @Test
        void countsFromTheLastResponse() throws Exception {
            idleServer.bind(new Address("127.0.0.1", 0));
            try (Socket caller = new Socket("127.0.0.1", idleServer.port())) {
                caller.setSoTimeout(READ_TIMEOUT_MS);
                get(caller, "/later");
                awaitRequests(1);
                Thread.sleep(SERVICE_MS);
                loop.submit(() -> later.send(200, List.of(), new byte[4])).get();
                assertThat(readBody(caller, 4)).isEqualTo(4);
                // Callers reuse a connection that has been idle for up to four fifths of the timeout.
                Thread.sleep(IDLE_MS * 4 / 5);
                request(caller, 10);

                assertThat(readBody(caller, 10)).isEqualTo(10);
                assertThat(caller.getInputStream().read()).isEqualTo(-1);
            } finally {
                idleServer.close();
            }
        }
    }

    private void stop() throws Exception {
        loop.submit(server::stop).get();
    }

    /** Closes the connections without a request, as a companion does when its last requests have arrived. */
    private void closeIdleAfter(int requests) throws Exception {
        awaitRequests(requests);
        loop.submit(server::closeIdle).get();
    }

    private void awaitRequests(int requests) throws InterruptedException {
        while (handled.get() < requests) {
            Thread.sleep(1);
        }
    }

    private Runnable handle(CallerRequest request, CallerResponse response) {
        handled.incrementAndGet();
        switch (request.uri()) {
            case "/cut" -> cut(response);
            case "/later" -> {
                later = response;
            }
            case "/open" -> {}
            default ->
                response.send(
                        200, List.of(), new byte[Integer.parseInt(request.uri().substring(1))]);
        }
        return () -> ended.add(request.uri());
    }

    private static void cut(CallerResponse response) {
        response.start(new ResponseHead(200, List.of(), 1_000));
        response.data(new byte[10], false);
        response.abort();
    }

    private static Socket connect(SlowLink link) throws IOException {
        Socket socket = new Socket("127.0.0.1", link.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static void request(Socket caller, int bytes) throws IOException {
        get(caller, "/" + bytes);
    }

    private static void get(Socket caller, String path) throws IOException {
        caller.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads the head of a response and its body up to the given size. Returns the bytes of the body that arrived. */
    private static int readBody(Socket caller, int bytes) {
        int received = 0;
        try {
            String head = "";
            while (!head.endsWith("\r\n\r\n")) {
                int next = caller.getInputStream().read();
                if (next < 0) {
                    return received;
                }
                head += (char) next;
            }
            byte[] buffer = new byte[16_384];
            while (received < bytes) {
                int length = caller.getInputStream().read(buffer, 0, Math.min(buffer.length, bytes - received));
                if (length < 0) {
                    return received;
                }
                received += length;
            }
        } catch (SocketException e) {
            // The connection was reset.
            return received;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return received;
    }
}
