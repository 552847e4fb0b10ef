package org.siskintiller.router.ingress;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import org.siskintiller.core.model.Address;
import org.siskintiller.core.path.CallerLimits;
import org.siskintiller.router.LoopLag;
import org.siskintiller.router.Sockets;

/** HTTP server for callers, or for local pages and heartbeats. */
public final class CallerServer {
    /** Limit of a request body, which is buffered completely so that the request can be retried. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Parts of responses that share one flush at most; each flush is a system call. */
    private static final int MAX_CONSOLIDATED_FLUSHES = 64;

    private static final int MAX_INITIAL_LINE_BYTES = 16_384;
    /**
     * Requests without a response at which the codec fails, which closes the connection. Above what a connection decodes: requests in
     * progress, discarded ones, and a last read of 64 KB with requests of 16 bytes or more.
     */
    private static final int MAX_UNANSWERED_REQUESTS = 8_192;

    private final EventLoop loop;
    private final CallerHandler handler;
    private final Supplier<CallerLimits> limits;
    private final LoopLag lag;
    private final BufferMemory memory;
    private final Set<CallerConnection> connections = new HashSet<>();
    private boolean stopping;
    private Channel serverChannel;

    public CallerServer(EventLoop loop, LoopLag lag, CallerHandler handler, Supplier<CallerLimits> limits) {
        this(loop, lag, handler, limits, new BufferMemory(loop, new MetricRegistry()));
    }

    /** Creates a server that shares its memory with other parts of the process. */
    public CallerServer(
            EventLoop loop, LoopLag lag, CallerHandler handler, Supplier<CallerLimits> limits, BufferMemory memory) {
        this.loop = loop;
        this.handler = handler;
        this.limits = limits;
        this.lag = lag;
        this.memory = memory;
    }

    public void bind(Address address) throws IOException {
        serverChannel = Sockets.bind(loop, address, new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                HttpDecoderConfig decoder = new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                        .setMaxHeaderSize(limits.get().maxHeaderBytes());
                channel.pipeline()
                        .addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true))
                        .addLast(new HttpServerCodec(decoder, MAX_UNANSWERED_REQUESTS))
                        .addLast(new IdleStateHandler(limits.get().idleTimeoutMs(), 0, 0, TimeUnit.MILLISECONDS))
                        .addLast(new CallerConnection(CallerServer.this));
            }
        });
    }

    /** Returns the bound port. */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Adds Connection: close to the last pending response of each connection. */
    public void stop() {
        stopping = true;
    }

    /** Begins to close the connections without a pending request. */
    public void closeIdle() {
        List.copyOf(connections).forEach(CallerConnection::closeWhenIdle);
    }

    /** Whether a caller may not have received all of its responses yet. */
    public boolean isDelivering() {
        return connections.stream().anyMatch(CallerConnection::isDelivering);
    }

    /** Bytes of responses that have not been handed to the network yet. */
    public long unwrittenBytes() {
        return connections.stream().mapToLong(CallerConnection::unwrittenBytes).sum();
    }

    public int openConnections() {
        return connections.size();
    }

    public void close() {
        serverChannel.close();
    }

    boolean isStopping() {
        return stopping;
    }

    long idleTimeoutMs() {
        return limits.get().idleTimeoutMs();
    }

    int maxBodyBytes() {
        return (int) Math.min(MAX_BODY_BYTES, limits.get().maxBodyBytes());
    }

    LoopLag lag() {
        return lag;
    }

    BufferMemory memory() {
        return memory;
    }

    CallerHandler handler() {
        return handler;
    }

    void connectionOpened(CallerConnection connection) {
        connections.add(connection);
    }

    void connectionClosed(CallerConnection connection) {
        connections.remove(connection);
    }
}
