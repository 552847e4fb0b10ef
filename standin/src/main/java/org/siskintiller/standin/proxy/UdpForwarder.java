package org.siskintiller.standin.proxy;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

/**
 * Forwards the datagrams of one mapping. Each client has a separate socket to the target, which identifies the client
 * of a reply. One event loop runs all methods.
 */
final class UdpForwarder {
    private static final int MAX_CLIENTS = 1_024;

    /** Netty's default buffer of 2048 bytes would truncate larger datagrams. */
    private static final int MAX_DATAGRAM_BYTES = 65_535;

    private final ProxyMapping mapping;
    private final EventLoop eventLoop;
    private final Channel listener;
    private final Map<InetSocketAddress, Channel> clients = new LinkedHashMap<>(16, 0.75f, true);

    UdpForwarder(ProxyMapping mapping, InetSocketAddress from, EventLoop eventLoop) throws InterruptedException {
        this.mapping = mapping;
        this.eventLoop = eventLoop;
        this.listener = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new ClientHandler())
                .bind(from)
                .sync()
                .channel();
    }

    void close() {
        listener.close();
        eventLoop.execute(() -> clients.values().forEach(Channel::close));
    }

    private Channel clientChannel(InetSocketAddress client) {
        Channel existing = clients.get(client);
        if (existing != null) {
            return existing;
        }
        if (clients.size() >= MAX_CLIENTS) {
            InetSocketAddress leastRecentlyUsed = clients.keySet().iterator().next();
            clients.remove(leastRecentlyUsed).close();
        }
        // The bind is synchronous, since this runs in the channel's event loop.
        Channel channel = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new ReplyHandler(client))
                .bind(new InetSocketAddress(
                        mapping.target().getAddress().isLoopbackAddress() ? "127.0.0.1" : "0.0.0.0", 0))
                .channel();
        clients.put(client, channel);
        return channel;
    }

    private void send(Channel channel, ByteBuf content, InetSocketAddress recipient) {
        ByteBuf copy = content.copy();
        mapping.corrupt(copy);
        long delayMs = mapping.faults().delayMs();
        Runnable write = () -> channel.writeAndFlush(new DatagramPacket(copy, recipient));
        if (delayMs == 0) {
            eventLoop.execute(write);
        } else {
            eventLoop.schedule(write, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private final class ClientHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (mapping.forwardsDatagram(true)) {
                send(clientChannel(packet.sender()), packet.content(), mapping.target());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The target is not listening. The loss of datagrams is allowed.
            context.flush();
        }
    }

    private final class ReplyHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        private final InetSocketAddress client;

        private ReplyHandler(InetSocketAddress client) {
            this.client = client;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (mapping.forwardsDatagram(false)) {
                send(listener, packet.content(), client);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The target is not listening. The loss of datagrams is allowed.
            context.flush();
        }
    }
}
