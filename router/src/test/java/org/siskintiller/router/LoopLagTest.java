package org.siskintiller.router;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
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
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Address;

import static com.google.common.truth.Truth.assertThat;

class LoopLagTest {
    /** Stall during which the peer closes its connection. */
    private static final long STALL_MS = 400;
    /** Time that the loop spends on other sockets before it runs timers. */
    private static final long REST_OF_PASS_MS = 20;

    private static final long TIMEOUT_MS = 5_000;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final LoopLag lag = new LoopLag(loop, new MetricRegistry());
    private final List<String> events = new CopyOnWriteArrayList<>();
    private final CountDownLatch reading = new CountDownLatch(1);
    private final CountDownLatch taskRan = new CountDownLatch(1);

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Guards against a deferred request that is handled before the end of its connection has been read. */
    @Test
    void readsTheSocketsBeforeTheDeferredTask() throws Exception {
        lag.start();
        loop.submit(() -> {}).get();
        Channel server = Sockets.bind(loop, new Address("127.0.0.1", 0), new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new StallingHandler());
            }
        });
        int port = ((InetSocketAddress) server.localAddress()).getPort();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(1);
            assertThat(reading.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        }

        assertThat(taskRan.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(events).containsExactly("read", "closed", "task").inOrder();
    }

    /** Stalls the loop when it reads, as a process without processor time does. */
    private final class StallingHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
            events.add("read");
            reading.countDown();
            park(STALL_MS);
            lag.runAfterPendingReads(() -> {
                events.add("task");
                taskRan.countDown();
            });
            park(REST_OF_PASS_MS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            events.add("closed");
        }

        private void park(long ms) {
            long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
            while (System.nanoTime() < endNs) {
                LockSupport.parkNanos(endNs - System.nanoTime());
            }
        }
    }
}
