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

    private PeerStream awaitAccepted() throws InterruptedException {
        return serverHandler.streams.poll(5, TimeUnit.SECONDS);
    }

    /** Guards against a body that is changed, truncated or reordered in either direction. */
    @Test
    void carriesBodiesBothWays() throws Exception {
        byte[] sent = new byte[3_000_000];
        new Random(11).nextBytes(sent);
        PeerStream stream = open();
        PeerStream accepted = awaitAccepted();
        Future<Void> echo = workers.submit(() -> {
            accepted.respond(Proto.ResponseHead.newBuilder().setStatus(200));
            accepted.incoming().transferTo(accepted.outgoing());
            accepted.finish();
            return null;
        });
        Future<byte[]> received = workers.submit(() -> stream.incoming().readAllBytes());
        stream.outgoing().write(sent);
        stream.finish();
        assertThat(stream.responseHead().get().getStatus()).isEqualTo(200);
        assertThat(Arrays.equals(received.get(), sent)).isTrue();
        echo.get();
    }

    /** Guards against stream ids that arrive out of order, for which the other side closes the connection. */
    @Test
    void concurrentStreamsShareConnection() throws Exception {
        List<Future<Integer>> statuses = new ArrayList<>();
        Future<?> echo = workers.submit(() -> {
            for (int i = 0; i < 64; i++) {
                PeerStream accepted = awaitAccepted();
                accepted.respond(Proto.ResponseHead.newBuilder().setStatus(200));
                accepted.finish();
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

    /** Guards against a read timeout that includes time without streams and so fails the next request. */
    @Test
    void idleConnectionServesLateRequest() throws Exception {
        PeerStream first = open();
        PeerStream firstAccepted = awaitAccepted();
        firstAccepted.respond(Proto.ResponseHead.newBuilder().setStatus(200));
        firstAccepted.finish();
        first.finish();
        first.incoming().readAllBytes();
        Thread.sleep(PeerLimits.READ_TIMEOUT_MS - 100);
        PeerStream late = open();
        PeerStream lateAccepted = awaitAccepted();
        Thread.sleep(200);
        lateAccepted.respond(Proto.ResponseHead.newBuilder().setStatus(201));
        assertThat(late.responseHead().get().getStatus()).isEqualTo(201);
    }

    /** Guards against a slow receiver that makes the sender buffer a whole body in memory. */
    @Test
    void senderWaitsForCredit() throws Exception {
        PeerStream stream = open();
        PeerStream accepted = awaitAccepted();
        AtomicLong written = new AtomicLong();
        CountDownLatch windowFull = new CountDownLatch(1);
        Future<?> sender = workers.submit(() -> {
            OutputStream out = stream.outgoing();
            byte[] chunk = new byte[16 * 1024];
            for (int i = 0; i < 100; i++) {
                if (written.get() + chunk.length > PeerLimits.WINDOW_BYTES) {
                    windowFull.countDown();
                }
                out.write(chunk);
                written.addAndGet(chunk.length);
            }
            stream.finish();
            return null;
        });
        windowFull.await();
        assertThat(written.get()).isAtMost(PeerLimits.WINDOW_BYTES);
        InputStream in = accepted.incoming();
        assertThat(in.readAllBytes()).hasLength(100 * 16 * 1024);
        sender.get();
    }

    /** Guards against a truncated body that looks complete to its reader. */
    @Test
    void resetFailsReaderAndWriter() throws Exception {
        PeerStream stream = open();
        PeerStream accepted = awaitAccepted();
        CountDownLatch failed = new CountDownLatch(1);
        accepted.onFailure(failed::countDown);
        stream.outgoing().write(new byte[100]);
        stream.reset(Outcome.UNKNOWN, "caller gone");
        failed.await();
        assertThrows(IOException.class, () -> accepted.incoming().readAllBytes());
        assertThrows(IOException.class, () -> accepted.respond(Proto.ResponseHead.newBuilder()));
    }

    @Test
    void resetCarriesOutcome() throws Exception {
        PeerStream stream = open();
        awaitAccepted().reset(Outcome.NOT_RUN, "full");
        ExecutionException e = assertThrows(
                ExecutionException.class, () -> stream.responseHead().get());
        assertThat(((StreamFailedException) e.getCause()).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against a response that is delivered to another request. */
    @Test
    void refusesHeadOfAnotherRequest() throws Exception {
        PeerStream stream = open();
        awaitAccepted();
        Proto.ResponseHead otherHead = Proto.ResponseHead.newBuilder()
                .setStreamId(stream.id())
                .setRequestId(ModelCodec.toProto(new RequestId(1, 1)))
                .build();
        assertThat(stream.receiveHead(otherHead)).isFalse();
    }

    /** Guards against a process or server socket that fails when a peer sends bytes that are not a frame. */
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

    /** Guards against serving requests of a peer that has not sent its incarnation. */
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

    /** Guards against a UDP socket that receives nothing more after malformed datagrams. */
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
        // Datagrams may be lost, so the message is resent, as the core does.
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

    /** Handler that records streams and messages. */
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
