package org.siskintiller.node.peer;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.siskintiller.core.gate.RefusalKind.Outcome;
import org.siskintiller.core.model.PeerMessage;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.wire.Decoded;
import org.siskintiller.wire.ModelCodec;
import org.siskintiller.wire.PeerCodec;
import org.siskintiller.wire.proto.Proto;

/** One TCP connection between companions and its streams. Only the connecting side opens streams. */
final class PeerConnection extends SimpleChannelInboundHandler<Proto.PeerFrame> {
    private final PeerHandler handler;
    private final boolean accepted;
    private final Map<Long, PeerStream> streams = new ConcurrentHashMap<>();
    private final Object writabilityLock = new Object();
    private final CompletableFuture<PeerConnection> ready = new CompletableFuture<>();
    private volatile Channel channel;
    private volatile long incarnation;
    private volatile long highestReceivedStreamId;
    private volatile long lastReadNs;
    private volatile long streamsOpenSinceNs;
    private long lastOpenedStreamId;

    PeerConnection(PeerHandler handler, boolean accepted) {
        this.handler = handler;
        this.accepted = accepted;
    }

    /** Opens a stream with a request. If the head cannot be written, the stream fails with outcome NOT_RUN. */
    PeerStream open(Proto.RequestHead.Builder head) {
        PeerStream stream;
        // The id is assigned and the head written under one lock: the other side accepts only ascending stream ids.
        synchronized (streams) {
            long id = ++lastOpenedStreamId;
            stream = new PeerStream(this, id, ModelCodec.fromProto(head.getRequestId()));
            if (streams.size() >= PeerLimits.MAX_STREAMS) {
                stream.fail(new StreamFailedException(Outcome.NOT_RUN, "too many streams to the companion"));
                return stream;
            }
            if (streams.isEmpty()) {
                streamsOpenSinceNs = System.nanoTime();
            }
            streams.put(id, stream);
            Proto.PeerFrame frame = Proto.PeerFrame.newBuilder()
                    .setRequestHead(head.setStreamId(id))
                    .build();
            channel.writeAndFlush(frame).addListener(write -> {
                if (!write.isSuccess()) {
                    stream.fail(new StreamFailedException(Outcome.NOT_RUN, "the request could not be sent"));
                }
            });
        }
        return stream;
    }

    void send(Proto.PeerFrame frame) {
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    void remove(long id) {
        streams.remove(id);
    }

    boolean isOpen() {
        return channel != null && channel.isActive();
    }

    /** Returns the incarnation of the other side, or 0 before its hello is received. */
    long incarnation() {
        return incarnation;
    }

    int streamCount() {
        return streams.size();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Waits until the send buffer of the connection is below its high-water mark. */
    void awaitWritable() throws IOException {
        if (channel.isWritable()) {
            return;
        }
        synchronized (writabilityLock) {
            while (!channel.isWritable()) {
                if (!channel.isActive()) {
                    throw new StreamFailedException(Outcome.UNKNOWN, "the connection broke");
                }
                try {
                    writabilityLock.wait(100);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    throw new IOException("interrupted while waiting for the connection", e);
                }
            }
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastReadNs = System.nanoTime();
        streamsOpenSinceNs = lastReadNs;
        sendHello();
        ready.complete(this);
    }

    /** Completes after the hello is queued, so that it precedes every other frame. */
    CompletableFuture<PeerConnection> ready() {
        return ready;
    }

    private void sendHello() {
        send(Proto.PeerFrame.newBuilder()
                .setHello(Proto.Hello.newBuilder()
                        .setIncarnation(handler.incarnation().id()))
                .build());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        synchronized (writabilityLock) {
            writabilityLock.notifyAll();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Proto.PeerFrame frame) {
        lastReadNs = System.nanoTime();
        if (incarnation == 0 && !frame.hasHello()) {
            closeMalformed("a frame arrived before the hello");
            return;
        }
        switch (frame.getFrameCase()) {
            case HELLO:
                incarnation = frame.getHello().getIncarnation();
                break;
            case CONTROL:
                handleControl(frame.getControl());
                break;
            case REQUEST_HEAD:
                handleRequest(frame.getRequestHead());
                break;
            case RESPONSE_HEAD:
                handleResponse(frame.getResponseHead());
                break;
            case BODY_CHUNK:
                handleChunk(frame.getBodyChunk());
                break;
            case STREAM_RESET:
                handleReset(frame.getStreamReset());
                break;
            case WINDOW_UPDATE:
                handleWindowUpdate(frame.getWindowUpdate());
                break;
            default:
                closeMalformed("a frame has no known content");
                break;
        }
    }

    private void handleControl(Proto.PeerMessage message) {
        Decoded<PeerMessage> decoded = PeerCodec.fromProto(message);
        if (decoded instanceof Decoded.Ok<PeerMessage> ok) {
            handler.onMessage(ok.value());
        } else if (decoded instanceof Decoded.Malformed<PeerMessage> invalid) {
            closeMalformed(invalid.reason());
        }
    }

    private void handleRequest(Proto.RequestHead head) {
        if (!accepted || head.getStreamId() <= highestReceivedStreamId) {
            closeMalformed("a stream id is not ascending, or the accepting side opened a stream");
            return;
        }
        highestReceivedStreamId = head.getStreamId();
        PeerStream stream = new PeerStream(this, head.getStreamId(), ModelCodec.fromProto(head.getRequestId()));
        if (streams.size() >= PeerLimits.MAX_STREAMS) {
            stream.reset(Outcome.NOT_RUN, "too many streams on the connection");
            return;
        }
        streams.put(head.getStreamId(), stream);
        handler.onRequest(stream, head);
    }

    private void handleResponse(Proto.ResponseHead head) {
        PeerStream stream = streams.get(head.getStreamId());
        if (stream == null || accepted) {
            return;
        }
        if (!stream.receiveHead(head)) {
            EventLog.log(LogEvent.PEER_MISMATCH, "request " + stream.requestId());
            stream.reset(Outcome.UNKNOWN, "the response belongs to another request");
        }
    }

    private void handleChunk(Proto.BodyChunk chunk) {
        // Chunks of a stream that this side has reset may still arrive.
        PeerStream stream = streams.get(chunk.getStreamId());
        if (stream != null && !stream.receiveChunk(chunk)) {
            closeMalformed("a body chunk exceeds the window or follows the last chunk");
        }
    }

    private void handleReset(Proto.StreamReset reset) {
        PeerStream stream = streams.get(reset.getStreamId());
        if (stream != null) {
            EventLog.log(LogEvent.PEER_STREAM_RESET, reset.getReason());
            stream.fail(new StreamFailedException(OutcomeCodec.fromProto(reset.getOutcome()), reset.getReason()));
        }
    }

    private void handleWindowUpdate(Proto.WindowUpdate update) {
        PeerStream stream = streams.get(update.getStreamId());
        if (stream != null && !stream.receiveCredit(update.getCredit())) {
            closeMalformed("a window update exceeds the window");
        }
    }

    private void closeMalformed(String reason) {
        EventLog.log(LogEvent.PEER_MALFORMED, reason + " from " + channel.remoteAddress());
        channel.close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof IdleStateEvent)) {
            return;
        }
        switch (((IdleStateEvent) event).state()) {
            case WRITER_IDLE:
                if (!streams.isEmpty()) {
                    sendHello();
                }
                break;
            case READER_IDLE:
                closeIfReadTimedOut(context);
                break;
            default:
                channel.close();
                break;
        }
    }

    /**
     * Closes a connection with open streams, or without a hello, that has received nothing for the read timeout. The
     * other side pings only while a stream is open, so the timeout starts with the first open stream.
     */
    private void closeIfReadTimedOut(ChannelHandlerContext context) {
        if (streams.isEmpty() && incarnation != 0) {
            return;
        }
        long sinceReadNs = System.nanoTime() - Math.max(lastReadNs, streamsOpenSinceNs);
        long remainingNs = TimeUnit.MILLISECONDS.toNanos(PeerLimits.READ_TIMEOUT_MS) - sinceReadNs;
        if (remainingNs <= 0) {
            channel.close();
        } else if (channel.isActive()) {
            context.executor().schedule(() -> closeIfReadTimedOut(context), remainingNs, TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        for (PeerStream stream : List.copyOf(streams.values())) {
            stream.fail(new StreamFailedException(Outcome.UNKNOWN, "the connection to the companion broke"));
        }
        synchronized (writabilityLock) {
            writabilityLock.notifyAll();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            EventLog.log(
                    LogEvent.PEER_MALFORMED,
                    cause + " from " + context.channel().remoteAddress());
        }
        context.close();
    }
}
