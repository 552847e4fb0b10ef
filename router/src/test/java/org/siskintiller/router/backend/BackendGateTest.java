package org.siskintiller.router.backend;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.path.RequestKind;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.Sockets;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Refusal;
import org.siskintiller.router.request.ResponseHead;
import org.siskintiller.router.request.ResponseListener;
import org.siskintiller.router.request.SendFailure;
import org.siskintiller.router.request.SentRequest;

import static com.google.common.truth.Truth.assertThat;

/** Gate in front of a backend server with one slot. */
class BackendGateTest {
    private static final long STALL_MS = 400;
    private static final long SETTLE_MS = 300;
    private static final long DEADLINE_MS = 400;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final LoopLag lag = new LoopLag(loop, new MetricRegistry());
    private ScriptedServer server;

    @AfterEach
    void close() throws Exception {
        server.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Guards against a queued request that is sent after a stall although its caller has disconnected meanwhile. */
    @Test
    void readsCancellationsBeforeItSendsQueuedRequests() throws Exception {
        server = new ScriptedServer((response, number) -> {});
        BackendGate gate = gate();
        lag.start();
        SentRequest running = loop.submit(() -> gate.send(request("running"), new IgnoringListener()))
                .get();
        SentRequest queued = loop.submit(() -> gate.send(request("queued"), new IgnoringListener()))
                .get();
        Channel callers = listen(queued::cancel);
        Socket caller = connect(callers);
        Thread.sleep(SETTLE_MS);
        assertThat(server.requests()).isEqualTo(1);

        AtomicReference<Thread> stalled = new AtomicReference<>();
        loop.execute(() -> {
            stalled.set(Thread.currentThread());
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STALL_MS));
            running.cancel();
        });
        while (stalled.get() == null) {
            Thread.sleep(1);
        }
        caller.close();
        Thread.sleep(STALL_MS + SETTLE_MS);

        assertThat(server.requests()).isEqualTo(1);
    }

    /** Guards against a response that is cut at the deadline although its backend server has sent most of it. */
    @Test
    void receivesTheRestOfAResponseAfterTheDeadline() throws Exception {
        server = new ScriptedServer((response, number) -> {
            response.write("HTTP/1.1 200 OK\r\nid: slow\r\ncontent-length: 8\r\n\r\npart");
            ScriptedServer.Response.pause(DEADLINE_MS + 200);
            response.write("rest");
        });
        BackendGate gate = gate();
        CompletableFuture<String> end = new CompletableFuture<>();
        loop.submit(() -> gate.send(request("slow", DEADLINE_MS), new EndListener(end)))
                .get();

        assertThat(end.get(5, TimeUnit.SECONDS)).isEqualTo("complete");
    }

    /** Guards against a backend server that keeps a slot by never ending its response. */
    @Test
    void dropsAResponseThatDoesNotEnd() throws Exception {
        server = new ScriptedServer(
                (response, number) -> response.write("HTTP/1.1 200 OK\r\nid: slow\r\ncontent-length: 8\r\n\r\npart"));
        BackendGate gate = gate();
        CompletableFuture<String> end = new CompletableFuture<>();
        loop.submit(() -> gate.send(request("slow", DEADLINE_MS), new EndListener(end)))
                .get();

        assertThat(end.get(5, TimeUnit.SECONDS)).isEqualTo("failed");
        assertThat(loop.submit(gate::inFlight).get()).isEqualTo(0);
    }

    private BackendGate gate() throws Exception {
        return OpenGate.create(loop, lag, server.address());
    }

    /** Listens for connections whose end runs the action. */
    private Channel listen(Runnable onEnd) throws Exception {
        return Sockets.bind(loop, new Address("127.0.0.1", 0), new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelInactive(ChannelHandlerContext context) {
                        onEnd.run();
                    }
                });
            }
        });
    }

    private static Socket connect(Channel listening) throws Exception {
        int port = ((InetSocketAddress) listening.localAddress()).getPort();
        return new Socket(InetAddress.getLoopbackAddress(), port);
    }

    private static ForwardedRequest request(String id) {
        return request(id, 5_000);
    }

    private static ForwardedRequest request(String id, long deadlineMs) {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMs);
        return new ForwardedRequest(
                id,
                "service",
                "GET",
                "/",
                List.of(),
                new byte[0],
                deadlineNs,
                deadlineNs,
                1,
                RequestKind.IDEMPOTENT,
                false,
                ForwardedRequest.NO_KEY,
                id.hashCode());
    }

    private static final class IgnoringListener implements ResponseListener {
        @Override
        public void started(ResponseHead head) {}

        @Override
        public void data(byte[] data, boolean last) {}

        @Override
        public void refused(Refusal refusal) {}

        @Override
        public void failed(SendFailure failure) {}
    }

    /** Tells how a request ended. */
    private record EndListener(CompletableFuture<String> end) implements ResponseListener {
        @Override
        public void started(ResponseHead head) {}

        @Override
        public void data(byte[] data, boolean last) {
            if (last) {
                end.complete("complete");
            }
        }

        @Override
        public void refused(Refusal refusal) {
            end.complete("refused");
        }

        @Override
        public void failed(SendFailure failure) {
            end.complete("failed");
        }
    }
}
