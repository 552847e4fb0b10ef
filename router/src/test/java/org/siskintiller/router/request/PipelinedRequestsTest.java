package org.siskintiller.router.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

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
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.core.path.Route;
import org.siskintiller.core.path.RouteTable;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.ingress.CallerServer;

import static com.google.common.truth.Truth.assertThat;

/** Several requests on one connection of a caller, some of whose responses cannot be completed. */
class PipelinedRequestsTest {
    private static final int WAIT_MS = 5_000;
    private static final int ROUTE_TIMEOUT_MS = 1_500;
    /** Time in which a request that is not held back has reached a backend server. */
    private static final int HELD_BACK_MS = 200;
    /** Larger than what is buffered of a response that may be streamed. */
    private static final byte[] PART = new byte[300_000];

    private static final HeaderNames NAMES =
            new HeaderNames("id", "deadline", "expected", "caller", "key", "not-run", "load");

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final MetricRegistry metrics = new MetricRegistry();
    private final LoopLag lag = new LoopLag(loop, metrics);
    private final ScriptedBackends backends = new ScriptedBackends();
    private final RequestRouter router = new RequestRouter(
            loop, lag, NAMES, new RouterSettings("s", 0.2, 10, 10_000), backends, id -> false, metrics);
    private final CallerServer server = new CallerServer(loop, lag, router, () -> CallerLimits.INITIAL);
    private Socket caller;

    @BeforeEach
    void start() throws Exception {
        Route once = route("once", "/once/", 1);
        Route twice = route("twice", "/twice/", 2);
        router.apply(new RouteTable(1, Map.of("host", List.of(once, twice)), Map.of(), CallerLimits.INITIAL));
        server.bind(new Address("127.0.0.1", 0));
        caller = new Socket("127.0.0.1", server.port());
        caller.setSoTimeout(WAIT_MS);
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        server.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** An earlier response of the connection is not complete, so that nothing of the later one has been written. */
    @Nested
    class CutBehindAnotherRequest {
        /** Guards against the loss of the earlier response when the backend server of the later one breaks off. */
        @Test
        void leavesTheEarlierResponseToItsCaller() throws Exception {
            send("/once/1", "/once/2");
            Attempt first = nextAttempt("/once/1");
            Attempt second = nextAttempt("/once/2");
            second.begin();
            second.fail();
            first.complete("first");

            assertThat(readResponse()).isEqualTo("200 first");
            assertThat(readResponse()).isEqualTo("502 ");
        }

        /** Guards against the same when the time of the later request ends. */
        @Test
        void leavesItAtTheDeadline() throws Exception {
            send("/once/1");
            Attempt first = nextAttempt("/once/1");
            sendWithin(ROUTE_TIMEOUT_MS / 5, "/once/2");
            nextAttempt("/once/2").begin();
            Thread.sleep(ROUTE_TIMEOUT_MS / 2);
            first.complete("first");

            assertThat(readResponse()).isEqualTo("200 first");
            assertThat(readResponse()).isEqualTo("504 ");
        }

        /** Guards against an error for a request that may be sent again, since its caller has seen nothing yet. */
        @Test
        void isRetried() throws Exception {
            send("/once/1", "/twice/2");
            Attempt first = nextAttempt("/once/1");
            Attempt second = nextAttempt("/twice/2");
            second.begin();
            second.fail();
            nextAttempt("/twice/2").complete("second");
            first.complete("first");

            assertThat(readResponse()).isEqualTo("200 first");
            assertThat(readResponse()).isEqualTo("200 second");
        }
    }

    /** The response is the first one of the connection, so that it is written as it arrives. */
    @Nested
    class CutAheadOfAnotherRequest {
        /** Guards against the loss of a later request that a backend server runs already. */
        @Test
        void leavesTheLaterResponseToItsCaller() throws Exception {
            send("/once/1", "/once/2");
            Attempt first = nextAttempt("/once/1");
            Attempt second = nextAttempt("/once/2");
            first.begin();
            second.complete("second");
            first.fail();

            assertThat(readResponse()).isEqualTo("502 ");
            assertThat(readResponse()).isEqualTo("200 second");
        }

        /** Guards against a request that is passed on although its response may be lost with the one ahead of it. */
        @Test
        void endsTheConnectionWithoutHavingPassedOnWhatFollows() throws Exception {
            send("/once/1");
            Attempt first = nextAttempt("/once/1");
            first.begin();
            send("/once/2");
            assertThat(backends.attempts.poll(HELD_BACK_MS, TimeUnit.MILLISECONDS))
                    .isNull();
            first.fail();

            assertThat(readAll()).startsWith("HTTP/1.1 200");
            assertThat(backends.attempts).isEmpty();
        }

        /** Guards against a request that is held back for good. */
        @Test
        void passesOnWhatFollowsWhenTheResponseIsComplete() throws Exception {
            send("/once/1");
            Attempt first = nextAttempt("/once/1");
            first.begin();
            send("/once/2", "/once/3");
            assertThat(backends.attempts.poll(HELD_BACK_MS, TimeUnit.MILLISECONDS))
                    .isNull();
            first.end();
            nextAttempt("/once/2").complete("second");
            nextAttempt("/once/3").complete("third");

            assertThat(readResponse()).hasLength("200 ".length() + PART.length);
            assertThat(readResponse()).isEqualTo("200 second");
            assertThat(readResponse()).isEqualTo("200 third");
        }
    }

    /** A response that is cut after a part of it was written. */
    @Nested
    class CutMidway {
        /** Guards against a cut response that looks complete. */
        @Test
        void endsTheConnection() throws Exception {
            send("/once/1");
            Attempt first = nextAttempt("/once/1");
            first.begin();
            first.fail();

            String received = readAll();
            assertThat(received).startsWith("HTTP/1.1 200");
            assertThat(received).doesNotContain("\r\n0\r\n\r\n");
        }
    }

    /** The time of a stop ends while the response is on its way. */
    @Nested
    class UnderWayDuringStop {
        /** Guards against a response that is cut at the time by which a stop ends the work of backend servers. */
        @Test
        void isDeliveredUntilTheDeadlineOfTheCaller() throws Exception {
            stopWorkSoon();
            send("/once/1");
            Attempt first = nextAttempt("/once/1");
            first.begin();
            Thread.sleep(ROUTE_TIMEOUT_MS / 2);
            first.end();

            assertThat(readResponse()).hasLength("200 ".length() + PART.length);
        }

        /** Guards against a response that goes on after the deadline of its caller. */
        @Test
        void endsAtTheDeadlineOfTheCaller() throws Exception {
            stopWorkSoon();
            send("/once/1");
            nextAttempt("/once/1").begin();
            long beginNs = System.nanoTime();

            String received = readAll();
            assertThat(received).startsWith("HTTP/1.1 200");
            assertThat(received).doesNotContain("\r\n0\r\n\r\n");
            // The shortened deadline is less than half of that of the caller.
            assertThat(System.nanoTime() - beginNs).isAtLeast(TimeUnit.MILLISECONDS.toNanos(ROUTE_TIMEOUT_MS / 2));
        }

        /** Guards against a response that is cut when the process answers the requests which are still open. */
        @Test
        void goesOnWhenOtherRequestsAreAnswered() throws Exception {
            send("/once/1");
            Attempt first = nextAttempt("/once/1");
            first.begin();
            loop.submit(router::endOpenRequests).get();
            first.end();

            assertThat(readResponse()).hasLength("200 ".length() + PART.length);
        }

        /** Guards against a request without an answer at the end of the process. */
        @Test
        void isAnsweredIfNothingHasArrived() throws Exception {
            send("/once/1");
            nextAttempt("/once/1");
            loop.submit(router::endOpenRequests).get();

            assertThat(readResponse()).isEqualTo("504 ");
        }

        private void stopWorkSoon() throws Exception {
            long stopNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ROUTE_TIMEOUT_MS / 6);
            loop.submit(() -> router.endRequestsBy(stopNs)).get();
        }
    }

    /** Guards against a request without an answer when the time that its caller states exceeds the range of the clock. */
    @Test
    void answersARequestWithAnExcessiveDeadline() throws Exception {
        caller.getOutputStream()
                .write("GET /once/1 HTTP/1.1\r\nhost: host\r\nid: 1\r\ndeadline: 1e19\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));

        assertThat(readResponse()).startsWith("504");
    }

    private static Route route(String name, String prefix, int maxAttempts) {
        return new Route(
                name,
                prefix,
                RequestKind.DOWNLOAD,
                ROUTE_TIMEOUT_MS,
                ROUTE_TIMEOUT_MS,
                0,
                List.of(new Route.WeightedService("s", 1)),
                maxAttempts);
    }

    private void send(String... paths) throws IOException {
        sendWithin(ROUTE_TIMEOUT_MS, paths);
    }

    private void sendWithin(int deadlineMs, String... paths) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (String path : paths) {
            requests.append("GET ").append(path).append(" HTTP/1.1\r\nhost: host\r\nid: ");
            requests.append(path.substring(path.length() - 1));
            requests.append("\r\ndeadline: ").append(deadlineMs).append("\r\n\r\n");
        }
        caller.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private Attempt nextAttempt(String path) throws InterruptedException {
        Attempt attempt = backends.attempts.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        assertThat(attempt).isNotNull();
        assertThat(attempt.path).isEqualTo(path);
        return attempt;
    }

    /** Returns the status and the body of the next response. */
    private String readResponse() throws IOException {
        InputStream input = caller.getInputStream();
        String status = readLine(input).split(" ")[1];
        int length = -1;
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            if (line.startsWith("content-length: ")) {
                length = Integer.parseInt(line.substring("content-length: ".length()));
            }
        }
        if (length >= 0) {
            return status + " " + new String(input.readNBytes(length), StandardCharsets.US_ASCII);
        }
        StringBuilder body = new StringBuilder();
        for (int size = -1; size != 0; ) {
            size = Integer.parseInt(readLine(input), 16);
            body.append(new String(input.readNBytes(size), StandardCharsets.US_ASCII));
            readLine(input);
        }
        return status + " " + body;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("the connection ended after: " + line);
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.US_ASCII).trim();
    }

    private String readAll() throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    /** Send of one request, whose response the test writes. */
    private final class Attempt {
        private final String path;
        private final ResponseListener listener;

        private Attempt(String path, ResponseListener listener) {
            this.path = path;
            this.listener = listener;
        }

        /** Begins a large response. */
        private void begin() throws Exception {
            loop.submit(() -> {
                        listener.started(new ResponseHead(200, List.of(), ResponseHead.UNKNOWN_LENGTH));
                        listener.data(PART, false);
                    })
                    .get();
        }

        private void end() throws Exception {
            loop.submit(() -> listener.data(new byte[0], true)).get();
        }

        private void complete(String body) throws Exception {
            loop.submit(() -> {
                        listener.started(new ResponseHead(200, List.of(), body.length()));
                        listener.data(body.getBytes(StandardCharsets.US_ASCII), true);
                    })
                    .get();
        }

        private void fail() throws Exception {
            loop.submit(() -> listener.failed(new SendFailure("the response was cut", false)))
                    .get();
        }
    }

    private final class ScriptedBackends implements Backends {
        private final BlockingQueue<Attempt> attempts = new LinkedBlockingQueue<>();

        @Override
        public Optional<String> choose(ForwardedRequest request, Set<String> excluded) {
            return Optional.of("instance-" + excluded.size());
        }

        @Override
        public Optional<Destination> destination(String instance) {
            return Optional.of((request, listener) -> {
                attempts.add(new Attempt(request.uri(), listener));
                return new SentRequest() {
                    @Override
                    public void cancel() {}

                    @Override
                    public void credit(int bytes) {}
                };
            });
        }

        @Override
        public Optional<String> holderOf(String service, int key) {
            return Optional.empty();
        }

        @Override
        public void requestSent(String instance) {}

        @Override
        public void requestEnded(String instance, boolean failed) {}
    }
}
