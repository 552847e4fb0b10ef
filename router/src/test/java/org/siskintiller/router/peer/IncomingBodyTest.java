package org.siskintiller.router.peer;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
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
import org.siskintiller.core.balance.BackendLoad;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.path.CallerLimits;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.core.path.RequestMemory;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.backend.BackendGate;
import org.siskintiller.router.backend.OpenGate;
import org.siskintiller.router.ingress.CallerRequest;
import org.siskintiller.router.ingress.CallerServer;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Header;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.RefusalReason;
import org.siskintiller.router.request.ResponseHead;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

import static com.google.common.truth.Truth.assertThat;

/** Bodies that a companion sends in parts to the one beside the backend server. */
class IncomingBodyTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final int BODY_BYTES = 60_000;
    private static final int STREAM = 7;
    private static final long LINK_BYTES_PER_S = 875_000;
    private static final PeerIdentity SERVER = new PeerIdentity("other", new Incarnation(1));
    private static final PeerIdentity CLIENT = new PeerIdentity("self", new Incarnation(2));

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final LoopLag lag = new LoopLag(loop, new MetricRegistry());
    private final RequestMemory memory = new RequestMemory(100_000);
    private final BlockingQueue<CallerRequest> arrived = new LinkedBlockingQueue<>();
    private final CallerServer backend = new CallerServer(
            loop,
            lag,
            (request, response) -> {
                arrived.add(request);
                response.send(200, List.of(new Header("id", request.headers().get("id"))), new byte[0]);
                return () -> {};
            },
            () -> CallerLimits.INITIAL);
    private BackendGate gate;
    private PeerServer server;
    private Socket peer;
    private DataOutputStream output;

    @BeforeEach
    void connect() throws Exception {
        backend.bind(new Address("127.0.0.1", 0));
        gate = OpenGate.create(loop, lag, new Address("127.0.0.1", backend.port()));
        LinkPacer pacer = new LinkPacer(loop, LINK_BYTES_PER_S);
        server = new PeerServer(
                SERVER, lag, gate, new Events(), pacer, new PeerTraffic(loop, new MetricRegistry()), memory);
        server.bind(new Address("127.0.0.1", 0));
        peer = new Socket("127.0.0.1", server.port());
        peer.setSoTimeout(TIMEOUT_MS);
        output = new DataOutputStream(peer.getOutputStream());
        assertThat(PeerClientTest.readFrame(peer).getKindCase()).isEqualTo(Frame.KindCase.HELLO);
        assertThat(PeerClientTest.readFrame(peer).getKindCase()).isEqualTo(Frame.KindCase.STATUS);
        write(CLIENT.introductionTo(SERVER.process()));
        announce(STREAM, BODY_BYTES);
    }

    @AfterEach
    void close() throws IOException {
        peer.close();
        server.close();
        backend.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Nested
    class Complete {
        /** Guards against parts that are lost or mixed up, and against memory that stays reserved. */
        @Test
        void reachesTheBackendServerWhole() throws Exception {
            int sent = 0;
            for (int credit = 0; sent < BODY_BYTES; ) {
                credit += nextCredit();
                sendPart(sent, credit - sent);
                sent = credit;
            }

            assertThat(PeerClientTest.readFrame(peer).getKindCase()).isEqualTo(Frame.KindCase.RESPONSE_START);
            byte[] body = arrived.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS).body();
            assertThat(body).isEqualTo(body());
            assertThat(PeerClientTest.readFrame(peer).getResponseData().getLast())
                    .isTrue();
            assertThat(heldBytes()).isEqualTo(0);
        }
    }

    @Nested
    class BetweenCompanions {
        /** Guards against a call that waits behind the body of an upload, and against sides that do not fit together. */
        @Test
        void letsACallOvertakeAnUpload() throws Exception {
            Events events = new Events();
            Address address = new Address("127.0.0.1", server.port());
            LinkPacer pacer = new LinkPacer(loop, LINK_BYTES_PER_S);
            PeerClient client = new PeerClient(
                    CLIENT,
                    "other",
                    address,
                    new FleetIntervals(),
                    pacer,
                    new PeerTraffic(loop, new MetricRegistry()),
                    events);
            // Otherwise the first request may still use the memory.
            nextCredit();
            write(Frames.cancel(STREAM));
            awaitReleased();
            loop.execute(client::connect);
            assertThat(events.connected.await(TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    .isTrue();
            loop.execute(() -> {
                client.send(request("upload", body()), new IgnoredResponse());
                client.send(request("call", new byte[100]), new IgnoredResponse());
            });

            assertThat(arrived.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS).body()).hasLength(100);
            assertThat(arrived.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS).body()).isEqualTo(body());
            loop.submit(client::close).get();
        }

        private ForwardedRequest request(String id, byte[] body) {
            long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
            List<Header> headers = List.of(new Header("id", id));
            return new ForwardedRequest(
                    id,
                    "service",
                    "POST",
                    "/",
                    headers,
                    body,
                    deadlineNs,
                    deadlineNs,
                    0,
                    RequestKind.NON_IDEMPOTENT,
                    false,
                    ForwardedRequest.NO_KEY,
                    id.hashCode());
        }
    }

    /** Guards against a part of a request that runs, and against memory that stays reserved. */
    @Nested
    class Incomplete {
        @BeforeEach
        void sendFirstPart() throws Exception {
            sendPart(0, nextCredit());
            assertThat(heldBytes()).isEqualTo(BODY_BYTES);
        }

        @Test
        void lostConnectionDropsIt() throws Exception {
            peer.close();

            assertDropped();
        }

        @Test
        void cancellationDropsIt() throws Exception {
            write(Frames.cancel(STREAM));

            assertDropped();
        }

        /** Guards also against parts that follow a refusal and are taken for a malformed stream. */
        @Test
        void refusalDropsIt() throws Exception {
            loop.submit(gate::stop).get();
            sendPart(0, nextCredit());
            CompanionProto.Refusal refusal = nextRefusal();
            sendPart(0, 1);

            assertThat(RefusalReason.of(refusal.getReason())).isEqualTo(RefusalReason.LEAVING);
            assertThat(refusal.getArrived()).isFalse();
            assertDropped();
            announce(STREAM + 1, 5_000);
            assertThat(nextRefusal().getStream()).isEqualTo(STREAM + 1);
        }

        /** Guards against a companion that sends more than it announced. */
        @Test
        void partBeyondTheCreditClosesTheConnection() throws Exception {
            sendPart(0, BODY_BYTES);

            while (peer.getInputStream().read() >= 0) {
                // Credit that was sent before.
            }
            assertDropped();
        }

        private void assertDropped() throws Exception {
            awaitReleased();
            assertThat(arrived).isEmpty();
        }
    }

    @Nested
    class Refused {
        /** Guards against bodies that are read without memory for them. */
        @Test
        void beforeItIsSentWhenMemoryIsLacking() throws Exception {
            announce(STREAM + 1, BODY_BYTES);
            CompanionProto.Refusal refusal = nextRefusal();

            assertThat(refusal.getStream()).isEqualTo(STREAM + 1);
            assertThat(refusal.getRetryAfterMs()).isGreaterThan(0);
            assertThat(heldBytes()).isEqualTo(BODY_BYTES);
        }

        /** Guards against a sender that stops in the middle and keeps memory reserved. */
        @Test
        void whenItIsNotCompleteAtTheDeadline() throws Exception {
            assertThat(RefusalReason.of(nextRefusal().getReason())).isEqualTo(RefusalReason.EXPIRED);
            assertThat(heldBytes()).isEqualTo(0);
        }
    }

    private void awaitReleased() throws Exception {
        for (int i = 0; i < TIMEOUT_MS / 10 && heldBytes() > 0; i++) {
            Thread.sleep(10);
        }
        assertThat(heldBytes()).isEqualTo(0);
    }

    private long heldBytes() throws Exception {
        return loop.submit(memory::heldBytes).get();
    }

    private void announce(int stream, int length) throws IOException {
        write(Frame.newBuilder()
                .setRequest(CompanionProto.Request.newBuilder()
                        .setStream(stream)
                        .setService("service")
                        .setMethod("POST")
                        .setUri("/")
                        .setRequestId("r" + stream)
                        .addHeaders(
                                CompanionProto.Header.newBuilder().setName("id").setValue("r" + stream))
                        .setRemainingMs(2_000)
                        .setObjectiveMs(2_000)
                        .setBodyLength(length))
                .build());
    }

    private int nextCredit() throws IOException {
        Frame frame = PeerClientTest.readFrame(peer);
        assertThat(frame.getKindCase()).isEqualTo(Frame.KindCase.CREDIT);
        return frame.getCredit().getBytes();
    }

    /** Skips credit that was sent before. */
    private CompanionProto.Refusal nextRefusal() throws IOException {
        while (true) {
            Frame frame = PeerClientTest.readFrame(peer);
            if (frame.getKindCase() == Frame.KindCase.REFUSAL) {
                return frame.getRefusal();
            }
            assertThat(frame.getKindCase()).isEqualTo(Frame.KindCase.CREDIT);
        }
    }

    private void sendPart(int from, int bytes) throws IOException {
        write(Frames.requestData(STREAM, body(), from, bytes));
    }

    private void write(Frame frame) throws IOException {
        PeerClientTest.write(output, frame);
    }

    private static byte[] body() {
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i / 251);
        }
        return body;
    }

    private static final class Events extends PeerClientTest.NoEvents {
        private final CountDownLatch connected = new CountDownLatch(1);

        @Override
        public void connectionChanged(String instance, boolean isConnected) {
            connected.countDown();
        }

        @Override
        public PeerStatus status() {
            return new PeerStatus("service", true, BackendLoad.UNKNOWN, 0, 0, true, 0, true, 0, List.of(), 0, 0);
        }
    }

    private static final class IgnoredResponse implements ResponseListener {
        @Override
        public void started(ResponseHead head) {}

        @Override
        public void data(byte[] data, boolean last) {}

        @Override
        public void refused(Refusal refusal) {}

        @Override
        public void failed(SendFailure failure) {}
    }
}
