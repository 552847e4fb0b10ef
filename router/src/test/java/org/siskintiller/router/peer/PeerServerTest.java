package org.siskintiller.router.peer;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.path.CallerLimits;
import org.siskintiller.core.path.RequestMemory;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.SlowLink;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.backend.OpenGate;
import org.siskintiller.router.ingress.CallerServer;
import org.siskintiller.router.request.Header;
import org.siskintiller.router.request.RefusalReason;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

import static com.google.common.truth.Truth.assertThat;

/** Companions that connect, some of which mean another process than the one that answers. */
class PeerServerTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final int LARGE_BODY_BYTES = 60_000;
    /** Less than the window, so that it is written without a credit. */
    private static final int LARGE_RESPONSE_BYTES = 100_000;

    private static final PeerIdentity SELF = new PeerIdentity("self", new Incarnation(1));
    private static final PeerIdentity FIRST = new PeerIdentity("a", new Incarnation(12));
    private static final PeerIdentity SECOND = new PeerIdentity("a", new Incarnation(11));

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final LoopLag lag = new LoopLag(loop, new MetricRegistry());
    private final List<String> run = new CopyOnWriteArrayList<>();
    private final CallerServer backend = new CallerServer(
            loop,
            lag,
            (request, response) -> {
                String id = request.headers().get("id");
                run.add(id);
                Runnable respond = () -> response.send(200, List.of(new Header("id", id)), new byte[0]);
                if (id.equals("slow")) {
                    slowResponse = respond;
                } else if (id.equals("large")) {
                    response.send(200, List.of(new Header("id", id)), new byte[LARGE_RESPONSE_BYTES]);
                } else {
                    respond.run();
                }
                return () -> {};
            },
            () -> CallerLimits.INITIAL);
    private final List<Link> links = new ArrayList<>();
    private PeerServer server;
    private volatile Runnable slowResponse;

    @BeforeEach
    void bind() throws Exception {
        backend.bind(new Address("127.0.0.1", 0));
        BackendGate gate = OpenGate.create(loop, lag, new Address("127.0.0.1", backend.port()));
        LinkPacer pacer = new LinkPacer(loop, 1_000_000);
        server = new PeerServer(
                SELF,
                lag,
                gate,
                new Events(),
                pacer,
                new PeerTraffic(loop, new MetricRegistry()),
                new RequestMemory(100_000));
        server.bind(new Address("127.0.0.1", 0));
    }

    @AfterEach
    void close() throws IOException {
        for (Link link : links) {
            link.socket.close();
        }
        server.close();
        backend.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Nested
    class Introduction {
        @Test
        void letsTheRequestsOfTheProcessRun() throws Exception {
            Link link = connect();
            link.write(FIRST.introductionTo(SELF.process()));
            link.request("r1", "service", 0);

            assertThat(link.next(Frame.KindCase.RESPONSE_START)
                            .getResponseStart()
                            .getStatus())
                    .isEqualTo(200);
            assertThat(run).containsExactly("r1");
        }

        /** Guards against a request that runs although its sender has not said which process it means. */
        @Test
        void isRequiredBeforeARequest() throws Exception {
            Link link = connect();
            link.request("r1", "service", 0);

            link.assertClosed();
            assertThat(run).isEmpty();
        }

        /** Guards against a request for another process that had the address before. */
        @Test
        void forAnotherProcessClosesTheConnection() throws Exception {
            Link link = connect();
            link.write(FIRST.introductionTo(new Incarnation(2)), request("r1", "service", 0));

            link.assertClosed();
            assertThat(run).isEmpty();
        }
    }

    @Nested
    class Restart {
        /** Guards against requests and reports of an ended process that arrive after those of its successor. */
        @Test
        void closesTheConnectionsOfTheEarlierProcess() throws Exception {
            Link earlier = connect();
            earlier.write(FIRST.introductionTo(SELF.process()));
            earlier.request("r1", "service", 0);
            earlier.next(Frame.KindCase.RESPONSE_START);
            Link successor = connect();
            successor.write(SECOND.introductionTo(SELF.process()));

            earlier.assertClosed();
            successor.request("r2", "service", 0);
            successor.next(Frame.KindCase.RESPONSE_START);
            assertThat(run).containsExactly("r1", "r2");
        }

        /** Guards against the loss of a response to an ended process that still waits for it, and against a new request of it. */
        @Test
        void letsRunningRequestsEnd() throws Exception {
            Link earlier = connect();
            earlier.write(FIRST.introductionTo(SELF.process()));
            earlier.request("slow", "service", 0);
            awaitRun("slow");
            Link successor = connect();
            successor.write(SECOND.introductionTo(SELF.process()));
            successor.awaitProcessed();
            successor.request("r2", "service", 0);
            earlier.request("r3", "service", 0);

            assertThat(earlier.next(Frame.KindCase.REFUSAL).getRefusal().getArrived())
                    .isFalse();
            respondToSlow();
            earlier.next(Frame.KindCase.RESPONSE_START);
            successor.next(Frame.KindCase.RESPONSE_START);
            assertThat(run).containsExactly("slow", "r2");
        }

        /** Guards against a reset that discards a response which is under way, because a frame arrives after the close. */
        @Test
        void letsAResponseThatIsUnderWayArrive() throws Exception {
            try (SlowLink slow = new SlowLink(server.port(), LARGE_RESPONSE_BYTES)) {
                Link earlier = connect(slow.port());
                earlier.write(FIRST.introductionTo(SELF.process()));
                earlier.request("large", "service", 0);
                earlier.next(Frame.KindCase.RESPONSE_START);
                Link successor = connect();
                successor.write(SECOND.introductionTo(SELF.process()));
                successor.awaitProcessed();
                earlier.credit(1);

                assertThat(earlier.readResponse()).isEqualTo(LARGE_RESPONSE_BYTES);
            }
        }

        /** Guards against the same where the ended process had connected, but its introduction was held up. */
        @Test
        void keepsOutAnEarlierProcessThatWasHeldUp() throws Exception {
            Link earlier = connect();
            Link successor = connect();
            successor.write(SECOND.introductionTo(SELF.process()));
            successor.request("r2", "service", 0);
            successor.next(Frame.KindCase.RESPONSE_START);
            earlier.write(FIRST.introductionTo(SELF.process()), request("r1", "service", 0));

            earlier.assertClosed();
            assertThat(run).containsExactly("r2");
        }
    }

    @Nested
    class Stop {
        /** Guards against a request that was surely not run, but gets no answer, because the process ends before its body arrives. */
        @Test
        void refusesARequestWhoseBodyIsUnderWay() throws Exception {
            Link link = connect();
            link.write(FIRST.introductionTo(SELF.process()));
            link.request("r1", "service", LARGE_BODY_BYTES);
            link.next(Frame.KindCase.CREDIT);
            loop.submit(server::closeConnections).get();

            CompanionProto.Refusal refusal = link.next(Frame.KindCase.REFUSAL).getRefusal();
            assertThat(RefusalReason.of(refusal.getReason())).isEqualTo(RefusalReason.LEAVING);
            link.assertClosed();
            assertThat(run).isEmpty();
        }
    }

    @Nested
    class AnotherService {
        /** Guards against a request that runs at another service, whose machine has the name of the holder. */
        @Test
        void getsNoRequest() throws Exception {
            assertRefused(0, RefusalReason.OTHER_SERVICE);
        }

        /** Guards against a body that is read although its request is refused in any case. */
        @Test
        void readsNoBody() throws Exception {
            assertRefused(LARGE_BODY_BYTES, RefusalReason.NO_BACKEND);
        }

        private void assertRefused(int bodyBytes, RefusalReason reason) throws Exception {
            Link link = connect();
            link.write(FIRST.introductionTo(SELF.process()));
            link.request("r1", "another", bodyBytes);

            CompanionProto.Refusal refusal = link.next(Frame.KindCase.REFUSAL).getRefusal();
            assertThat(RefusalReason.of(refusal.getReason())).isEqualTo(reason);
            assertThat(refusal.getArrived()).isFalse();
            assertThat(run).isEmpty();
        }
    }

    private void awaitRun(String id) throws InterruptedException {
        for (int i = 0; i < TIMEOUT_MS && !run.contains(id); i++) {
            Thread.sleep(1);
        }
        assertThat(run).contains(id);
    }

    private void respondToSlow() throws Exception {
        loop.submit(slowResponse).get();
    }

    private Link connect() throws IOException {
        return connect(server.port());
    }

    private Link connect(int port) throws IOException {
        Link link = new Link(new Socket("127.0.0.1", port));
        links.add(link);
        assertThat(link.next(Frame.KindCase.HELLO)).isEqualTo(SELF.introduction());
        return link;
    }

    /** Connection of another companion. */
    private static final class Link {
        private final Socket socket;
        private final DataOutputStream output;

        private Link(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_MS);
            output = new DataOutputStream(socket.getOutputStream());
        }

        /** Sends the frames together, so that the server has all of them when it closes the connection after the first. */
        private void write(Frame... frames) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream together = new DataOutputStream(bytes);
            for (Frame frame : frames) {
                PeerClientTest.write(together, frame);
            }
            output.write(bytes.toByteArray());
            output.flush();
        }

        private void request(String id, String service, int bodyBytes) throws IOException {
            write(PeerServerTest.request(id, service, bodyBytes));
        }

        /** Waits until the server has processed what was written. */
        private void awaitProcessed() throws IOException {
            next(Frame.KindCase.STATUS);
            write(Frame.newBuilder()
                    .setHello(CompanionProto.Hello.getDefaultInstance())
                    .build());
            next(Frame.KindCase.STATUS);
        }

        /** Returns the next frame of a kind. */
        private Frame next(Frame.KindCase kind) throws IOException {
            Frame frame = PeerClientTest.readFrame(socket);
            while (frame.getKindCase() != kind) {
                frame = PeerClientTest.readFrame(socket);
            }
            return frame;
        }

        private void credit(int bytes) throws IOException {
            write(Frame.newBuilder()
                    .setCredit(CompanionProto.Credit.newBuilder().setStream(1).setBytes(bytes))
                    .build());
        }

        /** Returns the bytes of the response that arrive. */
        private int readResponse() throws IOException {
            int bytes = 0;
            CompanionProto.ResponseData part;
            do {
                part = next(Frame.KindCase.RESPONSE_DATA).getResponseData();
                bytes += part.getData().size();
            } while (!part.getLast());
            return bytes;
        }

        private void assertClosed() throws IOException {
            try {
                while (socket.getInputStream().read() >= 0) {
                    // Frames that were sent before.
                }
            } catch (java.net.SocketException e) {
                // Reset, since the server had not read all that was sent.
                return;
            }
        }
    }

    private static Frame request(String id, String service, int bodyBytes) {
        return Frame.newBuilder()
                .setRequest(CompanionProto.Request.newBuilder()
                        .setStream(1)
                        .setService(service)
                        .setMethod("POST")
                        .setUri("/")
                        .setRequestId(id)
                        .addHeaders(
                                CompanionProto.Header.newBuilder().setName("id").setValue(id))
                        .setRemainingMs(2_000)
                        .setObjectiveMs(2_000)
                        .setBodyLength(bodyBytes))
                .build();
    }

    private static final class Events extends PeerClientTest.NoEvents {
        @Override
        public PeerStatus status() {
            return new PeerStatus("service", true, BackendLoad.UNKNOWN, 0, 0, true, 0, true, 0, List.of(), 0, 0);
        }
    }
}
