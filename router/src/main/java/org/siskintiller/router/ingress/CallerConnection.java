package org.siskintiller.router.ingress;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;

/** Connection of a caller. Requests are handled as they arrive; responses are written in the order of requests. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Requests of one connection that are handled at once. Further ones wait in the socket. */
    private static final int MOST_PIPELINED = 32;
    /** Time for the caller to read the last response and close: several round trips. */
    private static final long LINGER_MS = 500;

    private final CallerServer server;
    private final Deque<Entry> entries = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private long arrivedNs;
    private boolean closing;

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    Channel channel() {
        return channel;
    }

    boolean idle() {
        return entries.isEmpty() && head == null;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        head = null;
        releaseBody();
        List<Entry> open = List.copyOf(entries);
        entries.clear();
        for (Entry entry : open) {
            if (entry.response.unanswered() || !entry.response.complete()) {
                entry.callerLeft.run();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (closing) {
                return;
            }
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent content && head != null) {
                append(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && idle()) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        EventLog.log(LogEvent.REQUEST_REJECTED, "cause", String.valueOf(cause.getMessage()));
        context.close();
    }

    /** Writes the responses whose turn it is. */
    void advance() {
        while (!entries.isEmpty() && entries.peekFirst().response.complete()) {
            entries.pollFirst();
            Entry next = entries.peekFirst();
            if (next != null) {
                next.response.becomeFirst(channel);
            }
        }
        if (closing && entries.isEmpty()) {
            closeAfterResponse();
            return;
        }
        if (!channel.config().isAutoRead() && entries.size() < MOST_PIPELINED) {
            channel.config().setAutoRead(true);
        }
    }

    void abort() {
        closing = true;
        channel.close();
    }

    /** Announces the end of the connection with its last response when the process stops. */
    void closeIfStopping(HttpHeaders headers) {
        if (server.stopping() && entries.size() == 1) {
            closing = true;
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /**
     * Ends the own side first and reads on for a while: closing with unread requests in the socket would reset the
     * connection and could destroy the response on its way.
     */
    private void closeAfterResponse() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> ((SocketChannel) channel).shutdownOutput());
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    void closeWhenIdle() {
        if (idle()) {
            channel.close();
        }
    }

    private void begin(HttpRequest request) {
        if (request.decoderResult().cause() instanceof TooLongHttpHeaderException) {
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers above the configured limit");
            return;
        }
        if (request.decoderResult().isFailure()) {
            rejectMalformed("malformed request: " + request.decoderResult().cause());
            return;
        }
        boolean conflictingLengths = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (conflictingLengths) {
            rejectMalformed("both Content-Length and Transfer-Encoding");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        head = request;
        arrivedNs = System.nanoTime();
    }

    private void append(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            rejectMalformed("malformed body: " + content.decoderResult().cause());
            return;
        }
        int size = body.readableBytes() + content.content().readableBytes();
        if (size > server.maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body above " + server.maxBodyBytes() + " bytes");
            return;
        }
        if (content.content().isReadable()) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(content.content().readableBytes());
            }
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        HttpRequest whole = head;
        byte[] bytes = ByteBufUtil.getBytes(body);
        head = null;
        releaseBody();
        Entry entry = addEntry(whole.method().name().equals("HEAD"));
        if (entries.size() >= MOST_PIPELINED) {
            channel.config().setAutoRead(false);
        }
        CallerRequest request =
                new CallerRequest(whole.method().name(), whole.uri(), whole.headers(), bytes, arrivedNs);
        server.lag().runAfterPendingReads(() -> handle(request, entry));
    }

    private void handle(CallerRequest request, Entry entry) {
        if (entries.contains(entry)) {
            entry.callerLeft = server.handler().handle(request, entry.response);
        }
    }

    private void rejectMalformed(String detail) {
        reject(HttpResponseStatus.BAD_REQUEST, detail);
    }

    /** Ends the connection with an error, after the responses that are due before it. */
    private void reject(HttpResponseStatus status, String detail) {
        EventLog.log(LogEvent.REQUEST_REJECTED, "status", status.code(), "cause", detail);
        head = null;
        releaseBody();
        closing = true;
        addEntry(false).response.send(status.code(), List.of(), new byte[0]);
    }

    private Entry addEntry(boolean headRequest) {
        Entry entry = new Entry(new CallerResponse(this, headRequest));
        entries.addLast(entry);
        if (entries.size() == 1) {
            entry.response.becomeFirst(channel);
        }
        return entry;
    }

    private void releaseBody() {
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    private static final class Entry {
        private final CallerResponse response;
        private Runnable callerLeft = () -> {};

        private Entry(CallerResponse response) {
            this.response = response;
        }
    }
}
