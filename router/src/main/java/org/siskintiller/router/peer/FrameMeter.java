package org.siskintiller.router.peer;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import org.siskintiller.core.path.TransitDelay;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/** Measures the frames of one connection between companions, and states in those it sends when they were sent. */
final class FrameMeter extends ChannelDuplexHandler {
    /** Introductions, responses and parts of bodies. The delay on a connection is known from the other frames. */
    private static final Set<Frame.KindCase> UNTIMED_KINDS = EnumSet.of(
            Frame.KindCase.HELLO,
            Frame.KindCase.REQUEST_DATA,
            Frame.KindCase.RESPONSE_START,
            Frame.KindCase.RESPONSE_DATA,
            Frame.KindCase.REFUSAL,
            Frame.KindCase.FAILURE,
            Frame.KindCase.CREDIT);

    private final PeerTraffic traffic;
    private final TransitDelay transit = new TransitDelay();
    private String peer = "";
    private long lastTransitMs;

    FrameMeter(PeerTraffic traffic) {
        this.traffic = traffic;
    }

    /** Sets the name of the companion at the other end. */
    void setPeer(String instance) {
        peer = instance;
    }

    /** Time that the frame which is being handled has waited on its way, 0 if it does not tell when it was sent. */
    long transitMs() {
        return lastTransitMs;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof Frame frame) {
            lastTransitMs = 0;
            if (frame.getSentMs() != 0) {
                lastTransitMs = transit.delayMs(frame.getSentMs(), System.nanoTime());
                traffic.received(peer, frame.getKindCase(), lastTransitMs);
            }
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof Frame frame && !UNTIMED_KINDS.contains(frame.getKindCase())) {
            writeTimed(context, frame, promise);
            return;
        }
        if (message instanceof Frame frame) {
            traffic.sent(frame);
        }
        context.write(message, promise);
    }

    private void writeTimed(ChannelHandlerContext context, Frame frame, ChannelPromise promise) {
        long startNs = System.nanoTime();
        Frame timed = frame.toBuilder().setSentMs(sentMs(startNs)).build();
        traffic.sent(timed);
        Frame.KindCase kind = frame.getKindCase();
        promise.addListener(done -> traffic.written(peer, kind, System.nanoTime() - startNs));
        context.write(timed, promise);
    }

    /** Never 0, which states that the time is unknown. */
    private static int sentMs(long nowNs) {
        int sentMs = (int) TimeUnit.NANOSECONDS.toMillis(nowNs);
        return sentMs == 0 ? 1 : sentMs;
    }
}
