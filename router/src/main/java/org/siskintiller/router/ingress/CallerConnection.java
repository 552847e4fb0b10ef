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
import io.netty.channel.ChannelOutboundBuffer;
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

/** Connection of a caller. Requests are handled as they arrive; responses are written in the order of the requests. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Requests of one connection that are in progress at most. Further ones are not read from the socket. */
    private static final int MAX_PIPELINED = 32;
    /** Time for the caller to read the last response and close the connection: several round trips. */
    private static final long LINGER_MS = 500;

    private final CallerServer server;
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
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

    boolean hasPendingWrites() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer != null && buffer.totalPendingWriteBytes() > 0;
    }

    boolean isIdle() {
        return exchanges.isEmpty() && head == null;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        server.connectionOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.connectionClosed(this);
        head = null;
        releaseBody();
        List<Exchange> open = List.copyOf(exchanges);
        exchanges.clear();
        for (Exchange exchange : open) {
            if (exchange.response.isUnfinished() || !exchange.response.isFullyWritten()) {
                exchange.onDisconnect.run();
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
                beginRequest(request);
            }
            if (message instanceof HttpContent content && head != null) {
                appendBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && isIdle() && !hasPendingWrites()) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        EventLog.log(LogEvent.REQUEST_REJECTED, "cause", String.valueOf(cause.getMessage()));
        context.close();
    }

    /** Removes the responses that are fully written and writes the next one. */
    void writeNextResponse() {
        while (!exchanges.isEmpty() && exchanges.peekFirst().response.isFullyWritten()) {
            exchanges.pollFirst();
            Exchange next = exchanges.peekFirst();
            if (next != null) {
                next.response.becomeFirst(channel);
            }
        }
        if (closing && exchanges.isEmpty()) {
            closeAfterResponse();
            return;
        }
        if (!channel.config().isAutoRead() && exchanges.size() < MAX_PIPELINED) {
            channel.config().setAutoRead(true);
        }
    }

    void abort() {
        closing = true;
        channel.close();
    }

    /** Adds Connection: close to the last response of the connection when the process is stopping. */
    void closeIfStopping(HttpHeaders headers) {
        if (server.isStopping() && exchanges.size() == 1) {
            closing = true;
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /**
     * Shuts down the output first and continues to read for a while: closing a socket with unread requests would reset
     * the connection, and the caller could lose the response.
     */
    private void closeAfterResponse() {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> ((SocketChannel) channel).shutdownOutput());
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    void closeWhenIdle() {
        if (isIdle() && !hasPendingWrites()) {
            channel.close();
        }
    }

    private void beginRequest(HttpRequest request) {
        if (request.decoderResult().cause() instanceof TooLongHttpHeaderException) {
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers exceed the configured limit");
            return;
        }
        if (request.decoderResult().isFailure()) {
            rejectMalformed("malformed request: " + request.decoderResult().cause());
            return;
        }
        boolean conflictingLengths = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (conflictingLengths) {
            rejectMalformed("request with both Content-Length and Transfer-Encoding");
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        head = request;
        arrivedNs = server.lag().earliestArrivalNs();
    }

    private void appendBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            rejectMalformed("malformed body: " + content.decoderResult().cause());
            return;
        }
        int size = body.readableBytes() + content.content().readableBytes();
        if (size > server.maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body exceeds " + server.maxBodyBytes() + " bytes");
            return;
        }
        if (content.content().isReadable()) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(content.content().readableBytes());
            }
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            completeRequest();
        }
    }

    private void completeRequest() {
        HttpRequest httpRequest = head;
        byte[] bytes = ByteBufUtil.getBytes(body);
        head = null;
        releaseBody();
        Exchange exchange = addExchange(httpRequest.method().name().equals("HEAD"));
        if (exchanges.size() >= MAX_PIPELINED) {
            channel.config().setAutoRead(false);
        }
        CallerRequest request = new CallerRequest(
                httpRequest.method().name(), httpRequest.uri(), httpRequest.headers(), bytes, arrivedNs);
        server.lag().runAfterPendingReads(() -> handle(request, exchange));
    }

    private void handle(CallerRequest request, Exchange exchange) {
        if (exchanges.contains(exchange)) {
            exchange.onDisconnect = server.handler().handle(request, exchange.response);
        }
    }

    private void rejectMalformed(String detail) {
        reject(HttpResponseStatus.BAD_REQUEST, detail);
    }

    /** Sends an error response after the responses to earlier requests, then closes the connection. */
    private void reject(HttpResponseStatus status, String detail) {
        EventLog.log(LogEvent.REQUEST_REJECTED, "status", status.code(), "cause", detail);
        head = null;
        releaseBody();
        closing = true;
        addExchange(false).response.send(status.code(), List.of(), new byte[0]);
    }

    private Exchange addExchange(boolean headRequest) {
        Exchange exchange = new Exchange(new CallerResponse(this, headRequest));
        exchanges.addLast(exchange);
        if (exchanges.size() == 1) {
            exchange.response.becomeFirst(channel);
        }
        return exchange;
    }

    private void releaseBody() {
        body.release();
        body = Unpooled.EMPTY_BUFFER;
    }

    private static final class Exchange {
        private final CallerResponse response;
        private Runnable onDisconnect = () -> {};

        private Exchange(CallerResponse response) {
            this.response = response;
        }
    }
}
