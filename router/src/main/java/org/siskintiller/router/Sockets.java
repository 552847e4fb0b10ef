package org.siskintiller.router;

import java.io.IOException;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.siskintiller.core.model.Address;

/** Options that all listening and connecting sockets of a companion share. */
public final class Sockets {
    /** Limit of connections that wait to be accepted. A SYN beyond it is retransmitted only after seconds. */
    private static final int BACKLOG = 512;

    private Sockets() {}

    /** Listens on the address and sets up each accepted connection. Not called on the event loop. */
    public static Channel bind(EventLoop loop, Address address, ChannelHandler initializer) throws IOException {
        try {
            return new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .option(ChannelOption.RECVBUF_ALLOCATOR, acceptAll())
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(initializer)
                    .bind(address.host(), address.port())
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding " + address, e);
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            // Netty throws the checked cause of a failed bind without declaring it.
            throw new IOException("cannot bind " + address + ": " + e.getMessage(), e);
        }
    }

    /** Accepts all waiting connections at once, so that none waits for several reads after a stall. */
    private static RecvByteBufAllocator acceptAll() {
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG);
    }

    /** Connects to the address and sets up the connection. */
    public static ChannelFuture connect(
            EventLoop loop, Address address, int connectTimeoutMs, ChannelHandler initializer) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .handler(initializer)
                .connect(address.host(), address.port());
    }
}
