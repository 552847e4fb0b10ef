package org.siskintiller.router.backend;

import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskintiller.router.request.HeaderNames;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Responses of a faulty backend server. Requests are sent one after the other on the connections of one pool. */
class BackendConnectionTest {
    /** Parts of 300 bytes with their objects that fit in 1 MB. */
    private static final int MAX_WAITING_PARTS = 3_500;

    private static final HeaderNames NAMES = new HeaderNames(
            "request-id", "deadline-ms", "expected-instance", "caller-service", "key", "not-executed", "load");
    /** Time within which bytes that follow a response have arrived. */
    private static final long ARRIVAL_MS = 100;

    private static final long CLOSE_TIMEOUT_MS = 5_000;
    /** Size of one endless line; a header field of this size is within the limits of a response. */
    private static final String PADDING = "x".repeat(1_000);

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private ScriptedServer server;
    private BackendPool pool;

    @AfterEach
    void close() throws IOException {
        server.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Nested
    class LoadHeader {
        /** Guards against the loss of the other figures when the fourth one is missing or malformed. */
        @ParameterizedTest
        @CsvSource({"'3, 1, 6', 0", "'3, 1, 6, 271', 271", "'3,1,6,99.6', 100", "'3, 1, 6, fast', 0", "'3, 1, 6, ', 0"})
        void reportsTheFourthFigureIfItIsOne(String load, int expected) throws Exception {
            start((response, number) -> response.write(
                    "HTTP/1.1 200 OK\r\nrequest-id: a\r\nload: " + load + "\r\ncontent-length: 0\r\n\r\n"));
            RecordedExchange exchange = send("a");

            assertThat(exchange.outcome()).isEqualTo("200 ");
            assertThat(exchange.workPercent()).isEqualTo(expected);
        }
    }

    @Nested
    class StatusOutsideTheProtocol {
        /** Guards against a status such as 000 that reaches the caller, or that is taken for an interim response. */
        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "600", "999", "-1", "2000"})
        void failsTheAttemptAtOnce(String status) throws Exception {
            start((response, number) ->
                    response.write("HTTP/1.1 " + status + " Odd\r\nrequest-id: a\r\ncontent-length: 3\r\n\r\nodd"));

            assertThat(send("a").outcome()).startsWith("failed");
        }

        /** Guards against a later response on the same connection that is taken for the one to the failed attempt. */
        @Test
        void endsTheConnection() throws Exception {
            start((response, number) -> response.write(
                    "HTTP/1.1 000 Odd\r\nrequest-id: a\r\ncontent-length: 0\r\n\r\n" + success("a", "late")));

            assertThat(send("a").outcome()).startsWith("failed");
        }
    }

    @Nested
    class RepeatedRefusal {
        /** Guards against a refusal of an earlier request that is taken for the response to a later one. */
        @Test
        void isNotTakenForTheResponseToTheNextRequest() throws Exception {
            start((response, number) -> {
                if (number == 1) {
                    response.write(refusal("a"));
                    return;
                }
                response.write(refusal("a"));
                response.write(success("b", "ran"));
            });

            assertThat(send("a").outcome()).isEqualTo("rejected with 503");
            assertThat(send("b").outcome()).isEqualTo("200 ran");
        }

        /** Guards against "not run" for a request that runs while a refusal without an id is repeated. */
        @Test
        void provesNothingWithoutAnId() throws Exception {
            start((response, number) -> {
                response.write(refusalWithoutId());
                if (number == 2) {
                    response.write(success("b", "ran"));
                }
            });

            assertThat(send("a").outcome()).isEqualTo("rejected with 503");
            assertThat(send("b").outcome()).isEqualTo("200 ran");
        }

        /** As above, where the request gets no response of its own. */
        @Test
        void provesNothingWithoutAnIdBeforeTheConnectionEnds() throws Exception {
            start((response, number) -> {
                response.write(refusalWithoutId());
                if (number == 2) {
                    response.end();
                }
            });

            assertThat(send("a").outcome()).isEqualTo("rejected with 503");
            assertThat(send("b").outcome()).isEqualTo(RecordedExchange.FAILED);
        }

        /** Guards against an error of an earlier request that reaches the caller of a later one. */
        @Test
        void doesNotPassOnAnErrorWithoutAnId() throws Exception {
            start((response, number) -> {
                if (number == 2) {
                    response.write("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n");
                }
                response.write(success(number == 1 ? "a" : "b", "ran"));
            });

            assertThat(send("a").outcome()).isEqualTo("200 ran");
            assertThat(send("b").outcome()).isEqualTo("200 ran");
        }

        /** Guards against a request on a connection whose next bytes belong to an earlier one. */
        @Test
        void closesTheIdleConnection() throws Exception {
            start((response, number) -> {
                String id = number == 1 ? "a" : "b";
                response.write(refusal(id));
                ScriptedServer.Response.pause(ARRIVAL_MS / 2);
                response.write(refusal(id));
            });

            assertThat(send("a").outcome()).isEqualTo("rejected with 503");
            Thread.sleep(ARRIVAL_MS);
            assertThat(send("b").outcome()).isEqualTo("rejected with 503");
            assertThat(server.connections()).isEqualTo(2);
        }
    }

    /** A request that was not run is sent to the same backend server again, with its id. */
    @Nested
    class RepeatedRequest {
        /** Guards against a late copy of the first answer that is taken for the one to the repeat, which runs. */
        @ParameterizedTest
        @ValueSource(strings = {"503 Full", "500 Error"})
        void isNotAnsweredByACopyOfTheFirstAnswer(String status) throws Exception {
            String first = "HTTP/1.1 " + status + "\r\nrequest-id: a\r\nkeep-alive: timeout=10\r\n"
                    + (status.startsWith("503") ? "not-executed: 1\r\n" : "") + "content-length: 0\r\n\r\n";
            Set<Socket> answeredOnce = ConcurrentHashMap.newKeySet();
            start((response, number) -> {
                if (number == 1) {
                    response.write(first);
                    answeredOnce.add(response.connection());
                    return;
                }
                if (answeredOnce.contains(response.connection())) {
                    response.write(first);
                }
                response.write(success("a", "ran"));
            });

            send("a").outcome();
            assertThat(send("a").outcome()).isEqualTo("200 ran");
        }

        /** Guards against a new connection for each repeat while others are idle. */
        @Test
        void usesAnIdleConnectionThatHasNotCarriedIt() throws Exception {
            CountDownLatch bothArrived = new CountDownLatch(2);
            start((response, number) -> {
                bothArrived.countDown();
                if (number <= 2) {
                    await(bothArrived);
                }
                response.write(number == 3 ? success("a", "ran") : refusal(number == 1 ? "a" : "b"));
            });
            RecordedExchange first = send("a");
            while (server.requests() == 0) {
                Thread.sleep(1);
            }
            RecordedExchange other = send("b");
            assertThat(first.outcome()).isEqualTo("rejected with 503");
            assertThat(other.outcome()).isEqualTo("rejected with 503");
            Thread.sleep(ARRIVAL_MS);

            assertThat(send("a").outcome()).isEqualTo("200 ran");
            assertThat(server.connections()).isEqualTo(2);
        }

        private static void await(CountDownLatch latch) throws IOException {
            try {
                assertThat(latch.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    @Nested
    class TruncatedResponse {
        /** Guards against a response that was cut in its head or body and reaches the caller as a complete one. */
        @Test
        void isNeverComplete() throws Exception {
            String whole = success("a", "whole");
            start((response, number) -> {
                response.write(whole.substring(0, number - 1));
                response.end();
            });
            for (int length = 0; length < whole.length(); length++) {
                assertWithMessage("%s of %s bytes", length, whole.length())
                        .that(send("a").outcome())
                        .isEqualTo(RecordedExchange.FAILED);
            }
        }

        /** As above for a response in chunks. */
        @Test
        void isNeverCompleteInChunks() throws Exception {
            String whole = "HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
                    + "5\r\nwhole\r\n0\r\n\r\n";
            start((response, number) -> {
                response.write(whole.substring(0, number - 1));
                response.end();
            });
            for (int length = 0; length < whole.length(); length++) {
                assertWithMessage("%s of %s bytes", length, whole.length())
                        .that(send("a").outcome())
                        .isEqualTo(RecordedExchange.FAILED);
            }
        }
    }

    @Nested
    class EndlessBytes {
        /** Guards against a connection that is read without limit after its response is complete. */
        @Test
        void closeAnIdleConnection() throws Exception {
            start((response, number) -> {
                response.write(success("a", "ran"));
                ScriptedServer.Response.pause(ARRIVAL_MS);
                response.writeEndlessly("\r\n".repeat(50));
            });

            assertThat(send("a").outcome()).isEqualTo("200 ran");
            awaitClose();
        }

        /** Guards against a request that is sent on a connection with a partial line behind the last response. */
        @Test
        void areNotJoinedToTheNextResponse() throws Exception {
            start((response, number) -> response.write(success("a", "ran") + "HTTP/1.1 200 "));

            assertThat(send("a").outcome()).isEqualTo("200 ran");
            Thread.sleep(ARRIVAL_MS);
            assertThat(send("a").outcome()).isEqualTo("200 ran");
            assertThat(server.connections()).isEqualTo(2);
        }

        /** Guards against a request that waits until its deadline for a head that does not begin. */
        @Test
        void beforeTheHeadFailTheRequest() throws Exception {
            start((response, number) -> response.writeEndlessly("\r\n".repeat(50)));

            assertThat(send("a").outcome()).isEqualTo(RecordedExchange.FAILED);
            awaitClose();
        }

        /** Guards against a head of unlimited size. */
        @Test
        void inTheHeadFailTheRequest() throws Exception {
            start((response, number) -> {
                response.write("HTTP/1.1 200 OK\r\n");
                response.writeEndlessly("padding: " + PADDING + "\r\n");
            });

            assertThat(send("a").outcome()).isEqualTo(RecordedExchange.FAILED);
            awaitClose();
        }

        /** Guards against a request that waits until its deadline for the end of interim responses. */
        @Test
        void ofInterimResponsesFailTheRequest() throws Exception {
            start((response, number) -> response.writeEndlessly("HTTP/1.1 100 Continue\r\n\r\n"));

            assertThat(send("a").outcome()).isEqualTo(RecordedExchange.FAILED);
            awaitClose();
        }

        /** Guards against memory that is filled by many small parts, while their bytes are within the window. */
        @Test
        void inTinyChunksAreReadNoFasterThanTheyAreTaken() throws Exception {
            start((response, number) -> {
                response.write("HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n");
                response.writeEndlessly("1\r\nx\r\n".repeat(20));
            });
            RecordedExchange exchange = send("a");
            Thread.sleep(1_000);

            assertThat(exchange.parts()).isGreaterThan(0);
            assertThat(exchange.parts()).isAtMost(MAX_WAITING_PARTS);
        }

        /** Guards against a refusal that waits for the end of its body. */
        @Test
        void inTheBodyOfARefusalDoNotDelayIt() throws Exception {
            start((response, number) -> {
                response.write("HTTP/1.1 503 Full\r\nrequest-id: a\r\nnot-executed: 1\r\n"
                        + "transfer-encoding: chunked\r\n\r\n");
                response.writeEndlessly("3e8\r\n" + PADDING + "\r\n");
            });

            assertThat(send("a").outcome()).isEqualTo("rejected with 503");
            awaitClose();
        }

        /** Guards against a request that waits until its deadline for the end of another one's response. */
        @Test
        void inTheBodyOfAnotherResponseFailTheRequest() throws Exception {
            start((response, number) -> {
                response.write("HTTP/1.1 200 OK\r\nrequest-id: other\r\ntransfer-encoding: chunked\r\n\r\n");
                response.writeEndlessly("3e8\r\n" + PADDING + "\r\n");
            });

            assertThat(send("a").outcome()).isEqualTo(RecordedExchange.FAILED);
            awaitClose();
        }

        /** Guards against a chunk size of unlimited length. */
        @Test
        void inAChunkSizeFailTheRequest() throws Exception {
            start((response, number) -> {
                response.write("HTTP/1.1 200 OK\r\nrequest-id: a\r\ntransfer-encoding: chunked\r\n\r\n1;");
                response.writeEndlessly(PADDING);
            });

            assertThat(send("a").outcome()).isEqualTo(RecordedExchange.FAILED);
            awaitClose();
        }
    }

    private void start(ScriptedServer.Script script) throws IOException {
        server = new ScriptedServer(script);
        pool = new BackendPool(server.address(), loop, NAMES, new MetricRegistry());
    }

    private RecordedExchange send(String id) {
        RecordedExchange exchange = new RecordedExchange(id);
        loop.execute(() -> pool.acquire(id, connection -> connection.send(exchange, System.nanoTime())));
        return exchange;
    }

    private void awaitClose() throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MS);
        while (server.closedByClient() == 0 && System.nanoTime() < endNs) {
            Thread.sleep(10);
        }
        assertThat(server.closedByClient()).isAtLeast(1);
    }

    private static String success(String id, String body) {
        return "HTTP/1.1 200 OK\r\nrequest-id: " + id + "\r\nkeep-alive: timeout=10\r\ncontent-length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static String refusal(String id) {
        return "HTTP/1.1 503 Full\r\nrequest-id: " + id
                + "\r\nkeep-alive: timeout=10\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
    }

    private static String refusalWithoutId() {
        return "HTTP/1.1 503 Full\r\nkeep-alive: timeout=10\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
    }
}
