package org.siskintiller.logclient;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.wire.proto.Proto;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an append that may have taken effect but is reported as refused, and against incomplete reads. */
class HttpLogClientTest {
    private static final int MAX_BODY_BYTES = 1_000;
    private static final OperationId ID = new OperationId(1, 2);
    private static final List<PendingRecord> BATCH = List.of(record(10));

    private static PendingRecord record(int bytes) {
        return new PendingRecord(ID, Bytes.copyOf(new byte[bytes]));
    }

    private static LogClient client(Address address) {
        return client(address, Duration.ofSeconds(20));
    }

    private static LogClient client(Address address, Duration requestTimeout) {
        return new HttpLogClient(
                new LogClientSettings(address, Duration.ofSeconds(20), requestTimeout, MAX_BODY_BYTES, MAX_BODY_BYTES));
    }

    private static AppendResult appendUntilTimeout(byte[] partialResponse) throws IOException {
        try (ScriptedServer server = ScriptedServer.stallingAfter(partialResponse)) {
            return client(server.address(), Duration.ofMillis(300)).append("control", BATCH);
        }
    }

    private static AppendResult append(ScriptedServer scripted) throws IOException {
        try (ScriptedServer server = scripted) {
            return client(server.address()).append("control", BATCH);
        }
    }

    private static ReadResult read(byte[] response, long from) throws IOException {
        try (ScriptedServer server = ScriptedServer.respondingWith(response)) {
            return client(server.address()).read("control", from, 10, 0);
        }
    }

    private static Proto.ReadResponse.Item item(long offset) {
        return Proto.ReadResponse.Item.newBuilder()
                .setOffset(offset)
                .setOperationId(Proto.OperationId.newBuilder().setHigh(1).setLow(2))
                .setTimeMs(77)
                .setPayload(ByteString.copyFromUtf8("p"))
                .build();
    }

    private static byte[] readBody(long nextOffset, Proto.ReadResponse.Item... items) {
        return Proto.ReadResponse.newBuilder()
                .setFirstOffset(0)
                .setNextOffset(nextOffset)
                .setAtTail(true)
                .addAllItems(List.of(items))
                .build()
                .toByteArray();
    }

    @Nested
    class Append {

        @Test
        void responseWithOffsetZeroIsStored() throws IOException {
            byte[] body =
                    Proto.AppendResponse.newBuilder().setFirstOffset(0).build().toByteArray();
            assertThat(append(ScriptedServer.respondingWith(ScriptedServer.response(200, body))))
                    .isEqualTo(new AppendResult.Stored(0));
        }

        @Test
        void failedConnectionIsRefused() throws IOException {
            int port;
            try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = unused.getLocalPort();
            }
            assertThat(client(new Address("127.0.0.1", port)).append("control", BATCH))
                    .isInstanceOf(AppendResult.Refused.class);
        }

        @Test
        void rateLimitIsRefused() throws IOException {
            assertThat(append(ScriptedServer.respondingWith(ScriptedServer.response(429, new byte[0]))))
                    .isInstanceOf(AppendResult.Refused.class);
        }

        @Test
        void batchOverTheLimitIsRefusedWithoutSending() throws IOException {
            try (ScriptedServer server = ScriptedServer.respondingWith(new byte[0])) {
                assertThat(client(server.address()).append("control", List.of(record(MAX_BODY_BYTES))))
                        .isInstanceOf(AppendResult.Refused.class);
            }
        }

        @Test
        void closedConnectionIsUncertain() throws IOException {
            assertThat(append(ScriptedServer.respondingWith(new byte[0]))).isInstanceOf(AppendResult.Uncertain.class);
        }

        /** The JDK client resends some requests when a reused connection fails, but must not resend an append. */
        @Test
        void appendOnAReusedConnectionIsSentOnce() throws IOException {
            byte[] stored =
                    Proto.AppendResponse.newBuilder().setFirstOffset(0).build().toByteArray();
            AtomicInteger requestsReceived = new AtomicInteger();
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
            server.createContext("/", exchange -> {
                exchange.getRequestBody().readAllBytes();
                if (requestsReceived.incrementAndGet() == 1) {
                    exchange.sendResponseHeaders(200, stored.length);
                    exchange.getResponseBody().write(stored);
                }
                exchange.close();
            });
            server.start();
            LogClient client =
                    client(new Address("127.0.0.1", server.getAddress().getPort()));
            assertThat(client.append("control", BATCH)).isEqualTo(new AppendResult.Stored(0));
            assertThat(client.append("control", BATCH)).isInstanceOf(AppendResult.Uncertain.class);
            server.stop(0);
            assertThat(requestsReceived.get()).isEqualTo(2);
        }

        @Test
        void missingResponseIsUncertain() throws IOException {
            assertThat(appendUntilTimeout(new byte[0])).isInstanceOf(AppendResult.Uncertain.class);
        }

        @Test
        void timeoutWithinTheBodyIsUncertain() throws IOException {
            byte[] truncated = ScriptedServer.response(200, new byte[1], 2);
            assertThat(appendUntilTimeout(truncated)).isInstanceOf(AppendResult.Uncertain.class);
        }

        @Test
        void serverErrorIsUncertain() throws IOException {
            assertThat(append(ScriptedServer.respondingWith(ScriptedServer.response(503, new byte[0]))))
                    .isInstanceOf(AppendResult.Uncertain.class);
        }

        @Test
        void emptyResponseIsUncertain() throws IOException {
            assertThat(append(ScriptedServer.respondingWith(ScriptedServer.response(200, new byte[0]))))
                    .isInstanceOf(AppendResult.Uncertain.class);
        }
    }

    @Nested
    class Read {

        @Test
        void recordsAreReturnedInOrder() throws IOException {
            byte[] body = readBody(9, item(7), item(8));
            ReadResult.Read read = (ReadResult.Read) read(ScriptedServer.response(200, body), 7);
            assertThat(read.nextOffset()).isEqualTo(9);
            assertThat(read.atTail()).isTrue();
            assertThat(read.records()).hasSize(2);
            byte[] payload = {'p'};
            assertThat(read.records().get(1)).isEqualTo(new StoredRecord(8, ID, 77, Bytes.copyOf(payload)));
        }

        @Test
        void gapIsUnavailable() throws IOException {
            assertThat(read(ScriptedServer.response(200, readBody(10, item(7), item(9))), 7))
                    .isInstanceOf(ReadResult.Unavailable.class);
        }

        @Test
        void truncatedResponseIsUnavailable() throws IOException {
            byte[] body = readBody(8, item(7));
            assertThat(read(ScriptedServer.response(200, body, body.length + 1), 7))
                    .isInstanceOf(ReadResult.Unavailable.class);
        }

        @Test
        void malformedResponseIsUnavailable() throws IOException {
            byte[] malformed = {-1, -1, -1};
            assertThat(read(ScriptedServer.response(200, malformed), 7)).isInstanceOf(ReadResult.Unavailable.class);
        }

        @Test
        void responseOverTheLimitIsUnavailable() throws IOException {
            assertThat(read(ScriptedServer.response(200, new byte[MAX_BODY_BYTES + 1]), 7))
                    .isInstanceOf(ReadResult.Unavailable.class);
        }

        @Test
        void expiredHasTheFirstRetainedOffset() throws IOException {
            byte[] body =
                    Proto.ReadResponse.newBuilder().setFirstOffset(40).build().toByteArray();
            assertThat(read(ScriptedServer.response(410, body), 7)).isEqualTo(new ReadResult.Expired(40));
        }
    }

    @Nested
    class EndlessBytes {
        /** Guards against a head that is collected until memory is full. */
        @Test
        void inTheHeadEndTheCall() throws IOException {
            assertEndsTheCall("HTTP/1.1 200 OK\r\n", "padding: " + "x".repeat(200) + "\r\n");
        }

        /** Guards against a line without end. */
        @Test
        void inOneLineEndTheCall() throws IOException {
            assertEndsTheCall("HTTP/1.1 200 OK\r\npadding: ", "x".repeat(1_000));
        }

        /** Guards against a body that is collected until memory is full. */
        @Test
        void inTheBodyEndTheCall() throws IOException {
            assertEndsTheCall("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n".repeat(100));
        }

        private void assertEndsTheCall(String beginning, String repeated) throws IOException {
            try (ScriptedServer server = ScriptedServer.repeating(beginning, repeated)) {
                ReadResult result = client(server.address()).read("control", 7, 10, 0);

                assertThat(result).isInstanceOf(ReadResult.Unavailable.class);
                assertThat(server.repeatedBytes()).isLessThan(ScriptedServer.MAX_REPEATED_BYTES);
            }
        }
    }
}
