package org.siskintiller.standin.proxy;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * One direction of a TCP connection: reads data from the source and writes it to the sink after the delay of the
 * faults. Both channels belong to one event loop, which runs all methods.
 */
final class TcpDirection extends ChannelInboundHandlerAdapter {
    private static final int MAX_PENDING_BYTES = 256 * 1024;
    private static final long NS_PER_MS = 1_000_000;
    private static final double NS_PER_SECOND = 1e9;

    /** Minimum retransmission timeout of common TCP implementations. */
    private static final long RETRANSMISSION_TIMEOUT_MS = 200;

    private final ProxyMapping mapping;
    private final boolean forward;
    private final Channel source;
    private final Channel sink;
    private final ArrayDeque<Chunk> pending = new ArrayDeque<>();
    private TcpDirection opposite;
    private long pendingBytes;
    private long lastWriteTimeNs = System.nanoTime();

    TcpDirection(ProxyMapping mapping, boolean forward, Channel source, Channel sink) {
        this.mapping = mapping;
        this.forward = forward;
        this.source = source;
        this.sink = sink;
    }

    /** Data to be written at a time; null content is the end of the stream. */
    private record Chunk(ByteBuf content, long writeTimeNs) {}

    void setOpposite(TcpDirection newOpposite) {
        opposite = newOpposite;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf content = (ByteBuf) message;
        mapping.corrupt(content);
        mapping.countTcpBytes(content.readableBytes());
        pendingBytes += content.readableBytes();
        enqueue(content);
        updateAutoRead();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        enqueue(null);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        opposite.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        source.close();
    }

    /** Writes the data whose write time has passed; called again when the faults change. */
    void flush() {
        long nowNs = System.nanoTime();
        boolean written = false;
        while (!pending.isEmpty()
                && pending.peekFirst().writeTimeNs() - nowNs <= 0
                && !mapping.faults().isBlocked(forward)
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

    /** Releases the data that was not written. */
    void discard() {
        for (Chunk chunk : pending) {
            if (chunk.content() != null) {
                chunk.content().release();
            }
        }
        pending.clear();
        pendingBytes = 0;
    }

    private void enqueue(ByteBuf content) {
        long nowNs = System.nanoTime();
        lastWriteTimeNs = Math.max(lastWriteTimeNs, nowNs + delayNs());
        long bytesPerSecond = mapping.faults().bytesPerSecond();
        if (bytesPerSecond > 0 && content != null) {
            lastWriteTimeNs += (long) (content.readableBytes() * NS_PER_SECOND / bytesPerSecond);
        }
        pending.addLast(new Chunk(content, lastWriteTimeNs));
        if (lastWriteTimeNs - nowNs <= 0) {
            flush();
        } else {
            source.eventLoop().schedule(this::flush, lastWriteTimeNs - nowNs, TimeUnit.NANOSECONDS);
        }
    }

    private long delayNs() {
        ProxyFaults faults = mapping.faults();
        double loss = faults.loss(forward);
        long retransmissionMs = loss < 1 && mapping.drawFault(loss) ? RETRANSMISSION_TIMEOUT_MS : 0;
        return (faults.delayMs() + retransmissionMs) * NS_PER_MS;
    }

    private void updateAutoRead() {
        source.config().setAutoRead(pendingBytes < MAX_PENDING_BYTES);
    }
}
