package org.siskintiller.router.backend;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.keyrange.KeyGrant;
import org.siskintiller.core.keyrange.KeyRange;
import org.siskintiller.core.lease.BackendHeartbeat;
import org.siskintiller.core.lease.KeyHolder;
import org.siskintiller.core.lease.KeyOrder;
import org.siskintiller.core.lease.KeyOrders;

import static com.google.common.truth.Truth.assertThat;

/** Orders to a faulty backend server. */
class KeyOrderSenderTest {
    private static final String CONFIRMATION = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    private static final String HANDOVER = "HTTP/1.1 200 OK\r\nhandover: token\r\ncontent-length: 0\r\n\r\n";
    private static final KeyRange RANGE = new KeyRange(0, 999);
    /** Time in which an order and its response arrive on this machine. */
    private static final long ARRIVAL_MS = 200;
    /** Time after which a refused order is sent again. */
    private static final long REFUSED_DELAY_MS = 500;

    private static final String REFUSAL = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final long startedNs = System.nanoTime() - TimeUnit.MINUTES.toNanos(1);
    private final KeyHolder holder = new KeyHolder(10_000, startedNs);
    private final KeyOrders orders = new KeyOrders(holder, startedNs);
    private ScriptedServer server;
    private KeyOrderSender sender;

    @AfterEach
    void close() throws IOException {
        server.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Nested
    class SecondCopy {
        /** Guards against a second copy of the response to a grant that counts as the end of a release. */
        @Test
        void ofAGrantDoesNotConfirmARelease() throws Exception {
            start((response, number) -> {
                if (number == 1) {
                    response.write(CONFIRMATION);
                } else if (number == 2) {
                    // The copy arrives in place of the response to the release, which never comes.
                    response.write(CONFIRMATION);
                }
            });
            grant();

            release();

            assertThat(served(1)).isFalse();
            assertThat(released()).isFalse();
        }

        /** Guards against a grant that takes effect and counts as refused, so that its keys may go to another holder. */
        @Test
        void ofARefusalDoesNotRefuseTheNextGrant() throws Exception {
            Set<Socket> refusedOn = ConcurrentHashMap.newKeySet();
            start((response, number) -> {
                if (number == 1 || refusedOn.contains(response.connection())) {
                    response.write(REFUSAL);
                    refusedOn.add(response.connection());
                }
                response.write(number == 1 ? "" : CONFIRMATION);
            });
            sendDue();
            assertThat(served(1)).isFalse();
            loop.submit(sender::heartbeatReceived).get();
            Thread.sleep(REFUSED_DELAY_MS);

            grant();

            assertThat(server.requests()).isEqualTo(2);
        }

        /** Guards against a second copy that arrives while no order is on its way. */
        @Test
        void onAnIdleConnectionClosesIt() throws Exception {
            start((response, number) -> response.write(number == 1 ? CONFIRMATION + CONFIRMATION : HANDOVER));
            grant();
            assertThat(server.closedByClient()).isEqualTo(1);

            release();

            assertThat(server.connections()).isEqualTo(2);
            assertThat(released()).isTrue();
        }
    }

    @Nested
    class FaultyResponse {
        /** Guards against an error that ends more than the order, and against keys that stay unserved after it. */
        @Test
        void isAFailureOfTheOrderOnly() throws Exception {
            start((response, number) -> response.write(number == 1 ? "no HTTP\r\n\r\n" : CONFIRMATION));
            sendDue();
            assertThat(served(1)).isFalse();

            sendDue();

            assertThat(served(1)).isTrue();
        }
    }

    @Nested
    class EndlessBytes {
        private static final String LINE_BREAKS = "\r\n".repeat(50);

        /** Guards against a connection that is read without limit while no order is on its way. */
        @Test
        void closeAnIdleConnection() throws Exception {
            start((response, number) -> {
                response.write(CONFIRMATION);
                ScriptedServer.Response.pause(ARRIVAL_MS);
                response.writeEndlessly(LINE_BREAKS);
            });
            grant();
            Thread.sleep(2 * ARRIVAL_MS);

            assertThat(server.closedByClient()).isEqualTo(1);
        }

        /** Guards against the beginning of a line that is taken for the status of the next response. */
        @Test
        void areNotJoinedToTheNextResponse() throws Exception {
            start((response, number) -> response.write(number == 1 ? CONFIRMATION + "HTTP/1.1 200 " : HANDOVER));
            grant();
            release();

            assertThat(server.connections()).isEqualTo(2);
            assertThat(released()).isTrue();
        }

        /** Guards against an order that waits for its timeout although the response cannot come. */
        @Test
        void beforeTheHeadEndTheOrder() throws Exception {
            start((response, number) -> {
                if (number == 1) {
                    response.writeEndlessly(LINE_BREAKS);
                } else {
                    response.write(CONFIRMATION);
                }
            });
            sendDue();
            assertThat(server.closedByClient()).isEqualTo(1);

            sendDue();
            assertThat(served(1)).isTrue();
        }

        /** Guards against a head and a body of unlimited size. */
        @Test
        void inTheHeadOrBodyEndTheOrder() throws Exception {
            start((response, number) -> {
                if (number == 1) {
                    response.write("HTTP/1.1 200 OK\r\n");
                    response.writeEndlessly("padding: " + "x".repeat(200) + "\r\n");
                } else if (number == 2) {
                    response.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
                    response.writeEndlessly("64\r\n" + "x".repeat(100) + "\r\n");
                } else {
                    response.write(CONFIRMATION);
                }
            });
            sendDue();
            sendDue();
            assertThat(server.closedByClient()).isEqualTo(2);

            sendDue();
            assertThat(served(1)).isTrue();
        }

        /** Guards against an interim response that is taken for the outcome of the order. */
        @Test
        void ofInterimResponsesAreNoOutcome() throws Exception {
            start((response, number) -> response.write("HTTP/1.1 100 Continue\r\n\r\n" + CONFIRMATION));
            grant();

            assertThat(server.closedByClient()).isEqualTo(0);
        }
    }

    @Nested
    class EndedRun {
        /** Guards against an order for an ended run that reaches the next run at the same address. */
        @Test
        void getsNoOrderBeforeTheNextHeartbeat() throws Exception {
            start((response, number) -> {
                response.write(CONFIRMATION);
                response.end();
            });
            grant();
            release();
            assertThat(server.connections()).isEqualTo(1);

            loop.submit(sender::heartbeatReceived).get();
            sendDue();

            assertThat(server.connections()).isEqualTo(2);
        }
    }

    private void start(ScriptedServer.Script script) throws Exception {
        server = new ScriptedServer(script);
        sender = new KeyOrderSender(server.address(), loop, orders, new Codec(), () -> {}, new MetricRegistry());
        loop.submit(() -> {
                    holder.accept(new BackendHeartbeat(1, 1, List.of(), List.of()), System.nanoTime());
                    holder.assign(List.of(new KeyGrant(RANGE, "self", 1, 5, "")));
                    holder.renewed(System.nanoTime(), 3_500);
                })
                .get();
    }

    private void grant() throws Exception {
        sendDue();
        assertThat(served(1)).isTrue();
    }

    private void release() throws Exception {
        loop.submit(() -> holder.release(List.of(RANGE))).get();
        sendDue();
    }

    private void sendDue() throws Exception {
        loop.submit(sender::sendDue).get();
        Thread.sleep(ARRIVAL_MS);
    }

    private boolean served(int key) throws Exception {
        return loop.submit(() -> holder.serves(key, System.nanoTime())).get();
    }

    private boolean released() throws Exception {
        return loop.submit(() -> !holder.released().isEmpty()).get();
    }

    private static final class Codec implements KeyOrderCodec {
        @Override
        public String path(KeyOrder order) {
            return order instanceof KeyOrder.Grant ? "/grant" : "/release";
        }

        @Override
        public byte[] encode(KeyOrder order, long holdMs) {
            return "{}".getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public String handoverHeader() {
            return "handover";
        }
    }
}
