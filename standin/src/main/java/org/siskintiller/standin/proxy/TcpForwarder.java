package org.siskintiller.standin.proxy;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.siskintiller.core.model.Address;

/** Forwards the TCP connections of one mapping. */
final class TcpForwarder {
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final ProxyMapping mapping;
    private final Set<ConnectionPair> connectionPairs = ConcurrentHashMap.newKeySet();
    private final Channel listener;

    TcpForwarder(ProxyMapping mapping, Address from, EventLoopGroup group) throws InterruptedException {
        this.mapping = mapping;
        this.listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new AcceptHandler())
                .bind(from.host(), from.port())
                .sync()
                .channel();
    }

    private record ConnectionPair(Channel client, Channel server, TcpDirection forward, TcpDirection backward) {}

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Applies the changed faults to the open connections. */
    void applyFaults() {
        for (ConnectionPair pair : connectionPairs) {
            if (mapping.faults().cut()) {
                pair.client().close();
                pair.server().close();
            } else {
                pair.client().eventLoop().execute(() -> {
                    pair.forward().flush();
                    pair.backward().flush();
                });
            }
        }
    }

    int connections() {
        return connectionPairs.size();
    }

    void close() {
        listener.close();
        for (ConnectionPair pair : connectionPairs) {
            pair.client().close();
            pair.server().close();
        }
    }

    private void connect(Channel client) {
        ChannelFuture connecting = new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(mapping.target());
        connecting.addListener(future -> {
            if (future.isSuccess() && client.isActive()) {
                addPair(client, connecting.channel());
            } else {
                connecting.channel().close();
                client.close();
            }
        });
    }

    private void addPair(Channel client, Channel server) {
        TcpDirection forward = new TcpDirection(mapping, true, client, server);
        TcpDirection backward = new TcpDirection(mapping, false, server, client);
        forward.setOpposite(backward);
        backward.setOpposite(forward);
        ConnectionPair pair = new ConnectionPair(client, server, forward, backward);
        connectionPairs.add(pair);
        client.pipeline().addLast(forward);
        server.pipeline().addLast(backward);
        // A connection whose end is delayed remains in the set until both sides are closed.
        client.closeFuture().addListener(future -> removeIfClosed(pair));
        server.closeFuture().addListener(future -> removeIfClosed(pair));
        client.config().setAutoRead(true);
        server.config().setAutoRead(true);
    }

    private void removeIfClosed(ConnectionPair pair) {
        if (!pair.client().isOpen() && !pair.server().isOpen()) {
            connectionPairs.remove(pair);
            pair.forward().discard();
            pair.backward().discard();
        }
    }

    @io.netty.channel.ChannelHandler.Sharable
    private final class AcceptHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (mapping.faults().cut()) {
                context.close();
            } else {
                connect(context.channel());
            }
        }
    }
}
