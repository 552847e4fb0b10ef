package org.siskintiller.node.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.wire.Decoded;
import org.siskintiller.wire.PeerCodec;

/** UDP socket for the control messages that fit into one datagram. */
final class DatagramEndpoint extends SimpleChannelInboundHandler<DatagramPacket> {
    private static final long LOG_INTERVAL_DATAGRAMS = 1000;

    private final PeerHandler handler;
    private final AtomicLong malformedCount = new AtomicLong();
    private volatile Channel channel;

    DatagramEndpoint(PeerHandler handler) {
        this.handler = handler;
    }

    void send(InetSocketAddress to, PeerMessage.Datagram message) {
        Channel current = channel;
        if (current != null) {
            DatagramPacket packet = new DatagramPacket(Unpooled.wrappedBuffer(PeerCodec.encode(message)), to);
            current.writeAndFlush(packet, current.voidPromise());
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
        if (packet.content().readableBytes() > PeerLimits.MAX_DATAGRAM_BYTES) {
            logMalformed("datagram too long", packet);
            return;
        }
        Decoded<PeerMessage> decoded = PeerCodec.decode(ByteBufUtil.getBytes(packet.content()));
        if (decoded instanceof Decoded.Ok<PeerMessage> ok && ok.value() instanceof PeerMessage.Datagram message) {
            handler.onDatagram(message, packet.sender());
        } else {
            logMalformed("not a control message", packet);
        }
    }

    /** Logs the first malformed datagram and then every 1000th, so that they cannot flood the log. */
    private void logMalformed(String reason, DatagramPacket packet) {
        if (malformedCount.getAndIncrement() % LOG_INTERVAL_DATAGRAMS == 0) {
            EventLog.log(LogEvent.DATAGRAM_MALFORMED, reason + " from " + packet.sender());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Sending to an unreachable port raises an error here; the socket stays open.
        logMalformed(cause.toString(), new DatagramPacket(Unpooled.EMPTY_BUFFER, new InetSocketAddress(0)));
    }
}
