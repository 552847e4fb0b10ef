package org.siskintiller.router.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.evacuation.Evacuation;
import org.siskintiller.core.gate.Suspicion;
import org.siskintiller.core.lease.HolderReport;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.path.BackendLeaves;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.router.request.Destination;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.ResponseHead;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.wire.companion.CompanionProto;
import org.siskintiller.wire.companion.CompanionProto.Frame;

import static com.google.common.truth.Truth.assertThat;

/** Connection to a faulty companion. */
class PeerClientTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final PeerIdentity SELF = new PeerIdentity("self", new Incarnation(1));
    private static final PeerIdentity OTHER = new PeerIdentity("other", new Incarnation(2));

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private ServerSocket server;
    private PeerClient client;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MS);
        Address address = new Address("127.0.0.1", server.getLocalPort());
        client = new PeerClient(
                SELF,
                "other",
                address,
                new FleetIntervals(),
                new LinkPacer(loop, 1_000_000),
                new PeerTraffic(loop, new MetricRegistry()),
                new NoEvents());
        loop.execute(client::connect);
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** The address of the companion may belong to another one by now. */
    @Nested
    class Introduction {
        /** Guards against requests for a lost companion that reach the one at its address. */
        @Test
        void ofAnotherInstanceClosesTheConnectionWithoutARequest() throws Exception {
            assertGetsNothing(new PeerIdentity("another", OTHER.process()).introduction());
        }

        /** Guards against a companion that is taken for the expected one because it does not say which one it is. */
        @Test
        void isRequiredBeforeTheStatus() throws Exception {
            assertGetsNothing(Frame.newBuilder()
                    .setStatus(CompanionProto.Status.newBuilder().setService("service"))
                    .build());
        }

        private void assertGetsNothing(Frame firstFrame) throws Exception {
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(TIMEOUT_MS);
                write(new DataOutputStream(connection.getOutputStream()), firstFrame);
                Recorder recorder = new Recorder();
                loop.submit(() -> client.send(request(), recorder)).get();

                assertThat(connection.getInputStream().read()).isEqualTo(-1);
                assertThat(recorder.refused.get()).isTrue();
            }
        }
    }

    @Nested
    class EndlessBytes {
        private static final int PART_BYTES = 64 * 1024;
        private static final int PARTS = 200;
        private static final int CLAIMED_FRAME_BYTES = 4 * 1024 * 1024;

        /** Guards against a response that is kept although its receiver takes nothing of it. */
        @Test
        void beyondTheWindowEndTheResponse() throws Exception {
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(TIMEOUT_MS);
                DataOutputStream output = new DataOutputStream(connection.getOutputStream());
                // The introduction arrives first, then the request.
                write(output, OTHER.introduction());
                readFrame(connection);
                Recorder recorder = new Recorder();
                loop.execute(() -> client.send(request(), recorder));
                int stream = readFrame(connection).getRequest().getStream();
                for (int i = 0; i < PARTS; i++) {
                    write(
                            output,
                            Frame.newBuilder()
                                    .setResponseData(CompanionProto.ResponseData.newBuilder()
                                            .setStream(stream)
                                            .setData(ByteString.copyFrom(new byte[PART_BYTES])))
                                    .build());
                }
                assertThat(readFrame(connection).getKindCase()).isEqualTo(Frame.KindCase.CANCEL);

                assertThat(recorder.failed.get()).isTrue();
                assertThat(recorder.bytes.get()).isAtMost(2 * Destination.WINDOW_BYTES + PART_BYTES);
            }
        }

        /** Guards against a frame that is collected although no companion sends one of its size. */
        @Test
        void ofALargeFrameCloseTheConnection() throws Exception {
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(TIMEOUT_MS);
                DataOutputStream output = new DataOutputStream(connection.getOutputStream());
                write(output, OTHER.introduction());
                readFrame(connection);
                output.writeInt(CLAIMED_FRAME_BYTES);
                output.write(new byte[64]);

                assertThat(connection.getInputStream().read()).isEqualTo(-1);
            }
        }
    }

    static Frame readFrame(Socket connection) throws IOException {
        DataInputStream input = new DataInputStream(connection.getInputStream());
        return Frame.parseFrom(input.readNBytes(input.readInt()));
    }

    static void write(DataOutputStream output, Frame frame) throws IOException {
        output.writeInt(frame.getSerializedSize());
        frame.writeTo(output);
    }

    private static ForwardedRequest request() {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        return new ForwardedRequest(
                "id",
                "service",
                "GET",
                "/",
                List.of(),
                new byte[0],
                deadlineNs,
                deadlineNs,
                0,
                RequestKind.IDEMPOTENT,
                false,
                ForwardedRequest.NO_KEY,
                0);
    }

    private static final class Recorder implements ResponseListener {
        private final AtomicLong bytes = new AtomicLong();
        private final AtomicBoolean failed = new AtomicBoolean();
        private final AtomicBoolean refused = new AtomicBoolean();

        @Override
        public void started(ResponseHead head) {}

        @Override
        public void data(byte[] data, boolean last) {
            bytes.addAndGet(data.length);
        }

        @Override
        public void refused(Refusal refusal) {
            refused.set(true);
        }

        @Override
        public void failed(SendFailure failure) {
            failed.set(true);
        }
    }

    static class NoEvents implements PeerEvents {
        @Override
        public PeerStatus status() {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<LeaseReply> renewalReceived(HolderReport report, long term, int sequence) {
            return Optional.empty();
        }

        @Override
        public void leaseReplyReceived(String instance, LeaseReply reply) {}

        @Override
        public void statusReceived(PeerClient sender, PeerStatus status) {}

        @Override
        public void connectionChanged(String instance, boolean connected) {}

        @Override
        public void configReceived(ConfigUpdate update, List<String> relayTo, String from) {}

        @Override
        public Optional<ConfigUpdate> configRequested(long version) {
            return Optional.empty();
        }

        @Override
        public void recordsReceived(List<SharedRecord> records, boolean complete) {}

        @Override
        public void evacuationsReceived(List<Evacuation> evacuations, String from) {}

        @Override
        public void leavesReceived(String instance, BackendLeaves leaves) {}

        @Override
        public void leavesCopied(String instance, BackendLeaves leaves) {}

        @Override
        public void suspicionsReceived(List<Suspicion> suspicions) {}

        @Override
        public boolean resignationRequested(long term) {
            return false;
        }

        @Override
        public void resignationAcknowledged(String instance, long term) {}
    }
}
