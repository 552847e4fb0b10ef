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

/** UDP socket of the small control messages. */
final class DatagramEndpoint extends SimpleChannelInboundHandler<DatagramPacket> {
    private static final long LOG_EVERY = 1000;

    private final PeerHandler handler;
    private final AtomicLong malformed = new AtomicLong();
    private volatile Channel channel;

    DatagramEndpoint(PeerHandler handler) {
        this.handler = handler;
    }

    void send(InetSocketAddress to, PeerMessage.Datagram message) {
        Channel open = channel;
        if (open != null) {
            DatagramPacket packet = new DatagramPacket(Unpooled.wrappedBuffer(PeerCodec.encode(message)), to);
            open.writeAndFlush(packet, open.voidPromise());
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
        if (packet.content().readableBytes() > PeerLimits.MAX_DATAGRAM_BYTES) {
            dropped("too long", packet);
            return;
        }
        Decoded<PeerMessage> decoded = PeerCodec.decode(ByteBufUtil.getBytes(packet.content()));
        if (decoded instanceof Decoded.Ok<PeerMessage> ok && ok.value() instanceof PeerMessage.Datagram message) {
            handler.onDatagram(message, packet.sender());
        } else {
            dropped("not a control message", packet);
        }
    }

    /** Logs the first and then every 1000th, so that garbage cannot flood the log. */
    private void dropped(String reason, DatagramPacket packet) {
        if (malformed.getAndIncrement() % LOG_EVERY == 0) {
            EventLog.log(LogEvent.DATAGRAM_MALFORMED, reason + " from " + packet.sender());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Unreachable ports raise errors here; the socket stays open.
        dropped(cause.toString(), new DatagramPacket(Unpooled.EMPTY_BUFFER, new InetSocketAddress(0)));
    }
}
