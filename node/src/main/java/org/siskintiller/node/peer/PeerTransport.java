package org.siskintiller.node.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.wire.PeerCodec;
import org.siskintiller.wire.proto.Proto;

/** Transport between companions: a TCP server, cached TCP connections and a UDP socket. */
public final class PeerTransport implements AutoCloseable {
    private static final int NETWORK_THREADS = 2;
    private static final int LENGTH_FIELD_BYTES = 4;

    private final PeerHandler handler;
    private final EventLoopGroup threads = new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory());
    private final Map<Address, CompletableFuture<PeerConnection>> connections = new ConcurrentHashMap<>();
    private final AtomicInteger acceptedConnections = new AtomicInteger();
    private final DatagramEndpoint datagrams;
    private Channel server;
    private Channel udp;

    public PeerTransport(PeerHandler handler) {
        this.handler = handler;
        this.datagrams = new DatagramEndpoint(handler);
    }

    /** Binds TCP and UDP to the same port and returns the bound address. Port 0 selects a free port. */
    public Address bind(Address address) throws IOException {
        try {
            server = new ServerBootstrap()
                    .group(threads)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(initializer(true))
                    .bind(address.host(), address.port())
                    .sync()
                    .channel();
            int port = ((InetSocketAddress) server.localAddress()).getPort();
            udp = new Bootstrap()
                    .group(threads)
                    .channel(NioDatagramChannel.class)
                    .option(
                            ChannelOption.RECVBUF_ALLOCATOR,
                            new FixedRecvByteBufAllocator(PeerLimits.MAX_DATAGRAM_BYTES + 1))
                    .handler(datagrams)
                    .bind(address.host(), port)
                    .sync()
                    .channel();
            return new Address(address.host(), port);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding", e);
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            // Netty throws the checked cause of a failed bind without declaring it.
            throw new IOException("cannot bind " + address + ": " + e.getMessage(), e);
        }
    }

    public void sendDatagram(InetSocketAddress to, PeerMessage.Datagram message) {
        datagrams.send(to, message);
    }

    /** Sends a control message by TCP. It is lost if the companion is unreachable; the core resends it. */
    public void sendControl(Address to, PeerMessage message) {
        Proto.PeerFrame frame = Proto.PeerFrame.newBuilder()
                .setControl(PeerCodec.toProto(message))
                .build();
        connection(to).thenAccept(connection -> connection.send(frame));
    }

    /** Opens a stream with a request, connecting first when necessary. */
    public PeerStream open(Address to, Proto.RequestHead.Builder head) throws StreamFailedException {
        try {
            return connection(to)
                    .get(2L * PeerLimits.CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .open(head);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StreamFailedException(Outcome.NOT_RUN, "interrupted while connecting");
        } catch (Exception e) {
            throw new StreamFailedException(Outcome.NOT_RUN, "cannot connect to the companion at " + to);
        }
    }

    private CompletableFuture<PeerConnection> connection(Address to) {
        CompletableFuture<PeerConnection> cached = connections.get(to);
        if (cached != null && (!cached.isDone() || isOpen(cached))) {
            return cached;
        }
        CompletableFuture<PeerConnection> created = new CompletableFuture<>();
        boolean registered = cached == null
                ? connections.putIfAbsent(to, created) == null
                : connections.replace(to, cached, created);
        if (!registered) {
            CompletableFuture<PeerConnection> concurrent = connections.get(to);
            return concurrent == null ? connection(to) : concurrent;
        }
        connect(to, created);
        return created;
    }

    private static boolean isOpen(CompletableFuture<PeerConnection> connected) {
        return !connected.isCompletedExceptionally() && connected.join().isOpen();
    }

    private void connect(Address to, CompletableFuture<PeerConnection> result) {
        new Bootstrap()
                .group(threads)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, PeerLimits.CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer(false))
                .connect(to.host(), to.port())
                .addListener((io.netty.channel.ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        EventLog.log(LogEvent.PEER_CONNECTED, to.toString());
                        connected.channel().closeFuture().addListener(closed -> connections.remove(to, result));
                        connected
                                .channel()
                                .pipeline()
                                .get(PeerConnection.class)
                                .ready()
                                .thenAccept(result::complete);
                    } else {
                        EventLog.log(
                                LogEvent.PEER_CONNECT_FAILED,
                                to + ": " + connected.cause().getMessage());
                        connections.remove(to, result);
                        result.completeExceptionally(connected.cause());
                    }
                });
    }

    private ChannelInitializer<SocketChannel> initializer(boolean accepted) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                if (accepted && acceptedConnections.incrementAndGet() > PeerLimits.MAX_CONNECTIONS) {
                    acceptedConnections.decrementAndGet();
                    channel.close();
                    return;
                }
                if (accepted) {
                    channel.closeFuture().addListener(closed -> acceptedConnections.decrementAndGet());
                }
                ChannelPipeline pipeline = channel.pipeline();
                pipeline.addLast(new IdleStateHandler(
                        PeerLimits.READ_TIMEOUT_MS,
                        PeerLimits.PING_INTERVAL_MS,
                        PeerLimits.IDLE_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS));
                pipeline.addLast(new WriteTimeoutHandler(PeerLimits.WRITE_TIMEOUT_S));
                pipeline.addLast(new LengthFieldBasedFrameDecoder(
                        PeerLimits.MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
                pipeline.addLast(new ProtobufDecoder(Proto.PeerFrame.getDefaultInstance()));
                pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
                pipeline.addLast(new ProtobufEncoder());
                pipeline.addLast(new PeerConnection(handler, accepted));
            }
        };
    }

    /** Returns the number of connections that this companion has opened. */
    public int connectionCount() {
        return connections.size();
    }

    @Override
    public void close() {
        if (server != null) {
            server.close();
        }
        if (udp != null) {
            udp.close();
        }
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
