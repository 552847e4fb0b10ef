package org.siskintiller.node.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Incarnation;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.core.model.RequestId;
import org.siskintiller.wire.ModelCodec;
import org.siskintiller.wire.proto.Proto;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

@Timeout(30)
class PeerTransportTest {
    private static final RequestId REQUEST = new RequestId(7, 9);

    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final Recorder serverHandler = new Recorder(2);
    private final PeerTransport server = new PeerTransport(serverHandler);
    private final PeerTransport client = new PeerTransport(new Recorder(1));
    private Address address;

    @BeforeEach
    void bind() throws IOException {
        address = server.bind(new Address("127.0.0.1", 0));
        client.bind(new Address("127.0.0.1", 0));
    }

    @AfterEach
    void close() {
        client.close();
        server.close();
        workers.shutdownNow();
    }

    private PeerStream open() throws StreamFailedException {
        return client.open(
                address,
                Proto.RequestHead.newBuilder()
                        .setRequestId(ModelCodec.toProto(REQUEST))
                        .setService("s")
                        .setMethod("POST")
                        .setPath("/x"));
    }

    private PeerStream accepted() throws InterruptedException {
        return serverHandler.streams.poll(5, TimeUnit.SECONDS);
    }

    /** Guards against a body that is changed, cut or reordered on its way there and back. */
    @Test
    void carriesBodiesBothWays() throws Exception {
        byte[] sent = new byte[3_000_000];
        new Random(11).nextBytes(sent);
        PeerStream stream = open();
        PeerStream other = accepted();
        Future<Void> echo = workers.submit(() -> {
            other.respond(Proto.ResponseHead.newBuilder().setStatus(200));
            other.incoming().transferTo(other.outgoing());
            other.finish();
            return null;
        });
        Future<byte[]> received = workers.submit(() -> stream.incoming().readAllBytes());
        stream.outgoing().write(sent);
        stream.finish();
        assertThat(stream.responseHead().get().getStatus()).isEqualTo(200);
        assertThat(Arrays.equals(received.get(), sent)).isTrue();
        echo.get();
    }

    /** Guards against stream numbers that reach the other side out of order and so end the connection. */
    @Test
    void concurrentStreamsShareAConnection() throws Exception {
        List<Future<Integer>> statuses = new ArrayList<>();
        Future<?> echo = workers.submit(() -> {
            for (int i = 0; i < 64; i++) {
                PeerStream other = accepted();
                other.respond(Proto.ResponseHead.newBuilder().setStatus(200));
                other.finish();
            }
            return null;
        });
        for (int i = 0; i < 64; i++) {
            statuses.add(workers.submit(() -> {
                PeerStream stream = open();
                stream.finish();
                return stream.responseHead().get().getStatus();
            }));
        }
        for (Future<Integer> status : statuses) {
            assertThat(status.get()).isEqualTo(200);
        }
        echo.get();
    }

    /** Guards against a read timeout that counts time without streams and so breaks a request on a quiet connection. */
    @Test
    void quietConnectionServesALateRequest() throws Exception {
        PeerStream first = open();
        PeerStream firstAccepted = accepted();
        firstAccepted.respond(Proto.ResponseHead.newBuilder().setStatus(200));
        firstAccepted.finish();
        first.finish();
        first.incoming().readAllBytes();
        Thread.sleep(PeerLimits.READ_TIMEOUT_MS - 100);
        PeerStream late = open();
        PeerStream lateAccepted = accepted();
        Thread.sleep(200);
        lateAccepted.respond(Proto.ResponseHead.newBuilder().setStatus(201));
        assertThat(late.responseHead().get().getStatus()).isEqualTo(201);
    }

    /** Guards against a slow receiver that makes the sender buffer a whole body in memory. */
    @Test
    void senderWaitsForCredit() throws Exception {
        PeerStream stream = open();
        PeerStream other = accepted();
        AtomicLong written = new AtomicLong();
        CountDownLatch full = new CountDownLatch(1);
        Future<?> sender = workers.submit(() -> {
            OutputStream out = stream.outgoing();
            byte[] chunk = new byte[16 * 1024];
            for (int i = 0; i < 100; i++) {
                if (written.get() + chunk.length > PeerLimits.WINDOW_BYTES) {
                    full.countDown();
                }
                out.write(chunk);
                written.addAndGet(chunk.length);
            }
            stream.finish();
            return null;
        });
        full.await();
        assertThat(written.get()).isAtMost(PeerLimits.WINDOW_BYTES);
        InputStream in = other.incoming();
        assertThat(in.readAllBytes()).hasLength(100 * 16 * 1024);
        sender.get();
    }

    /** Guards against a cut body that looks complete. */
    @Test
    void resetFailsReaderAndWriter() throws Exception {
        PeerStream stream = open();
        PeerStream other = accepted();
        CountDownLatch failed = new CountDownLatch(1);
        other.onFailure(failed::countDown);
        stream.outgoing().write(new byte[100]);
        stream.reset(Outcome.UNKNOWN, "caller gone");
        failed.await();
        assertThrows(IOException.class, () -> other.incoming().readAllBytes());
        assertThrows(IOException.class, () -> other.respond(Proto.ResponseHead.newBuilder()));
    }

    @Test
    void resetCarriesOutcome() throws Exception {
        PeerStream stream = open();
        accepted().reset(Outcome.NOT_RUN, "full");
        ExecutionException e = assertThrows(
                ExecutionException.class, () -> stream.responseHead().get());
        assertThat(((StreamFailedException) e.getCause()).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against an answer that is given to another request. */
    @Test
    void refusesHeadOfAnotherRequest() throws Exception {
        PeerStream stream = open();
        accepted();
        Proto.ResponseHead foreign = Proto.ResponseHead.newBuilder()
                .setStreamId(stream.id())
                .setRequestId(ModelCodec.toProto(new RequestId(1, 1)))
                .build();
        assertThat(stream.receiveHead(foreign)).isFalse();
    }

    /** Guards against a peer that stops the process or the socket with bytes that are no frame. */
    @Test
    void survivesGarbage() throws Exception {
        Random random = new Random(5);
        for (int i = 0; i < 50; i++) {
            byte[] garbage = new byte[1 + random.nextInt(2000)];
            random.nextBytes(garbage);
            try (Socket socket = new Socket(address.host(), address.port())) {
                socket.getOutputStream().write(garbage);
            } catch (IOException e) {
                // The server may close the connection first.
                assertThat(e).isNotNull();
            }
        }
        carriesBodiesBothWays();
    }

    /** Guards against requests from a peer that never presented its incarnation. */
    @Test
    void closesConnectionWithoutHello() throws Exception {
        byte[] frame = Proto.PeerFrame.newBuilder()
                .setRequestHead(Proto.RequestHead.newBuilder().setStreamId(1))
                .build()
                .toByteArray();
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.getOutputStream().write(new byte[] {0, 0, 0, (byte) frame.length});
            socket.getOutputStream().write(frame);
            socket.setSoTimeout(5000);
            // Reads the server's hello and then the end of the connection.
            socket.getInputStream().readAllBytes();
        }
        assertThat(serverHandler.streams).isEmpty();
    }

    /** Guards against garbage datagrams that stop the receipt of later ones. */
    @Test
    void survivesGarbageDatagrams() throws Exception {
        PeerMessage.Datagram message = new PeerMessage.LapseNotice(new Incarnation(1), new Incarnation(2));
        InetSocketAddress to = new InetSocketAddress(address.host(), address.port());
        try (java.net.DatagramSocket socket = new java.net.DatagramSocket()) {
            Random random = new Random(3);
            for (int i = 0; i < 50; i++) {
                byte[] garbage = new byte[random.nextInt(3000)];
                random.nextBytes(garbage);
                socket.send(new java.net.DatagramPacket(garbage, garbage.length, to));
            }
        }
        PeerMessage received = null;
        // Datagrams may be lost, so the message is repeated as the core does.
        for (int i = 0; i < 50 && received == null; i++) {
            client.sendDatagram(to, message);
            received = serverHandler.messages.poll(100, TimeUnit.MILLISECONDS);
        }
        assertThat(received).isEqualTo(message);
    }

    @Test
    void unreachableCompanionMeansNotRun() throws Exception {
        server.close();
        StreamFailedException e = assertThrows(StreamFailedException.class, () -> {
            PeerStream stream = open();
            try {
                stream.responseHead().get();
            } catch (ExecutionException failed) {
                throw failed.getCause();
            }
        });
        assertThat(e.outcome()).isAnyOf(Outcome.NOT_RUN, Outcome.UNKNOWN);
    }

    /** Handler that keeps what arrives. */
    private static final class Recorder implements PeerHandler {
        private final Incarnation incarnation;
        private final BlockingQueue<PeerStream> streams = new ArrayBlockingQueue<>(100);
        private final BlockingQueue<PeerMessage> messages = new ArrayBlockingQueue<>(100);

        Recorder(long id) {
            incarnation = new Incarnation(id);
        }

        @Override
        public Incarnation incarnation() {
            return incarnation;
        }

        @Override
        public void onMessage(PeerMessage message) {
            messages.add(message);
        }

        @Override
        public void onDatagram(PeerMessage.Datagram message, InetSocketAddress source) {
            messages.add(message);
        }

        @Override
        public void onRequest(PeerStream stream, Proto.RequestHead head) {
            streams.add(stream);
        }
    }
}
