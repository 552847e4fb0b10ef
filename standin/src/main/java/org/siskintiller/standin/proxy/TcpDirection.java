package org.siskintiller.standin.proxy;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * One direction of a TCP connection: takes what the source sends and writes it to the sink when it is due. Both
 * channels belong to one event loop, which runs all methods.
 */
final class TcpDirection extends ChannelInboundHandlerAdapter {
    private static final int MAX_PENDING_BYTES = 256 * 1024;
    private static final long NS_PER_MS = 1_000_000;
    private static final double NS_PER_SECOND = 1e9;

    /** The least retransmission timeout of common TCP implementations. */
    private static final long RETRANSMISSION_MS = 200;

    private final ProxyMapping mapping;
    private final boolean forward;
    private final Channel source;
    private final Channel sink;
    private final ArrayDeque<Chunk> pending = new ArrayDeque<>();
    private TcpDirection opposite;
    private long pendingBytes;
    private long lastDueNs = System.nanoTime();

    TcpDirection(ProxyMapping mapping, boolean forward, Channel source, Channel sink) {
        this.mapping = mapping;
        this.forward = forward;
        this.source = source;
        this.sink = sink;
    }

    /** Data that waits; without content it is the end of the stream. */
    private record Chunk(ByteBuf content, long dueNs) {}

    void setOpposite(TcpDirection other) {
        opposite = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf content = (ByteBuf) message;
        mapping.addGarbage(content);
        mapping.countTcp(content.readableBytes());
        pendingBytes += content.readableBytes();
        add(content);
        updateAutoRead();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        add(null);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        opposite.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        source.close();
    }

    /** Writes what is due; called again when the faults change. */
    void flush() {
        long nowNs = System.nanoTime();
        boolean written = false;
        while (!pending.isEmpty()
                && pending.peekFirst().dueNs() - nowNs <= 0
                && !mapping.faults().blocks(forward)
                && (sink.isWritable() || !sink.isActive())) {
            Chunk chunk = pending.removeFirst();
            if (chunk.content() == null) {
                sink.flush();
                sink.close();
                return;
            }
            pendingBytes -= chunk.content().readableBytes();
            sink.write(chunk.content());
            written = true;
        }
        if (written) {
            sink.flush();
        }
        updateAutoRead();
    }

    /** Releases what was never written. */
    void discard() {
        for (Chunk chunk : pending) {
            if (chunk.content() != null) {
                chunk.content().release();
            }
        }
        pending.clear();
        pendingBytes = 0;
    }

    private void add(ByteBuf content) {
        long nowNs = System.nanoTime();
        lastDueNs = Math.max(lastDueNs, nowNs + delayNs());
        long bytesPerSecond = mapping.faults().bytesPerSecond();
        if (bytesPerSecond > 0 && content != null) {
            lastDueNs += (long) (content.readableBytes() * NS_PER_SECOND / bytesPerSecond);
        }
        pending.addLast(new Chunk(content, lastDueNs));
        if (lastDueNs - nowNs <= 0) {
            flush();
        } else {
            source.eventLoop().schedule(this::flush, lastDueNs - nowNs, TimeUnit.NANOSECONDS);
        }
    }

    private long delayNs() {
        ProxyFaults faults = mapping.faults();
        double loss = faults.loss(forward);
        long retransmissionMs = loss < 1 && mapping.chance(loss) ? RETRANSMISSION_MS : 0;
        return (faults.delayMs() + retransmissionMs) * NS_PER_MS;
    }

    private void updateAutoRead() {
        source.config().setAutoRead(pendingBytes < MAX_PENDING_BYTES);
    }
}
