package org.siskintiller.router.ingress;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
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
import org.siskintiller.core.retry.RetryAfter;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.LingeringClose;
import org.siskintiller.router.request.Header;

/** Connection of a caller. Requests are handled as they arrive; responses are written in the order of the requests. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Requests of one connection that are in progress at most. Further ones are not read from the socket. */
    private static final int MAX_PIPELINED = 32;
    /** Requests behind the last one that is answered. Bytes after them are not decoded: the codec keeps something for each request. */
    private static final int MAX_DISCARDED_REQUESTS = 1_000;
    /** Time until memory may be available: most requests end within it. */
    private static final double RETRY_AFTER_MS = 500;

    private final CallerServer server;
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    /** Whether the caller waits for an interim response before it sends the body. */
    private boolean awaitsContinue;

    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    /** Memory reserved for the body that is being read. */
    private int reservedBytes;

    private long arrivedNs;
    /** Whether a complete response has been written, which the caller may not have received yet. */
    private boolean hasResponded;

    private long lastWrittenNs = System.nanoTime();
    /** Whether no further request is accepted. */
    private boolean closing;
    /** Whether the output is closed, or will be when the socket has taken what was written. */
    private boolean lingering;
    /** Requests that arrived after the last one that is answered. Their caller sends them again on another connection. */
    private int discardedRequests;

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    Channel channel() {
        return channel;
    }

    /** Bytes that the socket has not taken yet. */
    long unwrittenBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    boolean hasPendingWrites() {
        return unwrittenBytes() > 0;
    }

    boolean isIdle() {
        return exchanges.isEmpty() && head == null;
    }

    /** Whether the caller may not have received all of its responses yet. */
    boolean isDelivering() {
        return lingering || hasPendingWrites() || !exchanges.isEmpty();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        server.connectionOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.connectionClosed(this);
        server.memory().removed(this);
        if (discardedRequests > 0) {
            EventLog.log(LogEvent.REQUESTS_DISCARDED, "requests", discardedRequests);
        }
        endRequests();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (closing) {
                discard(message);
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

    private void discard(Object message) {
        if (!(message instanceof HttpRequest)) {
            return;
        }
        discardedRequests++;
        if (discardedRequests == MAX_DISCARDED_REQUESTS) {
            channel.pipeline().addFirst(new DiscardingHandler());
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof IdleStateEvent) || lingering) {
            return;
        }
        if (isIdle() && !hasPendingWrites()) {
            closeIfQuiet();
        } else if (head != null && channel.config().isAutoRead()) {
            // The memory for the body is reserved, so a caller that stops in the middle of it must not keep it.
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "no bytes of the body within the idle timeout");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        EventLog.log(LogEvent.REQUEST_REJECTED, "cause", String.valueOf(cause.getMessage()));
        context.close();
    }

    /** Removes the responses that are fully written and writes the next one. */
    void writeNextResponse() {
        boolean hadRequests = !exchanges.isEmpty();
        while (!exchanges.isEmpty() && exchanges.peekFirst().response.isFullyWritten()) {
            releaseMemory(exchanges.pollFirst());
            Exchange next = exchanges.peekFirst();
            if (next != null) {
                next.response.becomeFirst(channel);
            }
        }
        // The head of a response may have been written before the process began to stop, without an announcement of the
        // end.
        boolean isLast = closing || hadRequests && head == null && server.isStopping();
        if (isLast && exchanges.isEmpty()) {
            linger();
            return;
        }
        sendContinueInTurn();
        updateReading();
    }

    /** Lets the body of the last request follow when the responses ahead of it are written. */
    private void sendContinueInTurn() {
        if (awaitsContinue && exchanges.isEmpty()) {
            awaitsContinue = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Counts a complete response whose last bytes are written. */
    void responseWritten(ChannelFuture written) {
        hasResponded = true;
        written.addListener(taken -> lastWrittenNs = System.nanoTime());
    }

    /** Counts bytes of a response that are buffered for the caller. */
    void buffered(int bytes) {
        if (bytes > 0 && channel.isActive()) {
            server.memory().buffered(this, bytes);
            updateReading();
        }
    }

    /** Counts bytes of a response that the network has taken. */
    void taken(int bytes) {
        if (bytes > 0 && channel.isActive()) {
            server.memory().taken(this, bytes);
            updateReading();
        }
    }

    /** Reads further requests unless too many are in progress or the caller does not read its responses. */
    private void updateReading() {
        if (lingering) {
            return;
        }
        boolean reads = exchanges.size() < MAX_PIPELINED && !server.memory().pauses(this);
        if (channel.config().isAutoRead() != reads) {
            channel.config().setAutoRead(reads);
        }
    }

    /** Ends the connection because its present response cannot be completed. Complete ones before it are still delivered. */
    void abort() {
        if (hasResponded) {
            linger();
            return;
        }
        cut("a response cannot be completed");
    }

    /** Closes the connection at once. What has not arrived yet may be lost. */
    void cut(String cause) {
        closing = true;
        EventLog.log(
                LogEvent.CALLER_CUT,
                "cause",
                cause,
                "unwritten_bytes",
                unwrittenBytes(),
                "open",
                exchanges.size(),
                "stopping",
                server.isStopping());
        channel.close();
    }

    /** Adds Connection: close to the last response of the connection when the process is stopping. */
    void closeIfStopping(HttpHeaders headers) {
        if (server.isStopping() && exchanges.size() == 1) {
            closing = true;
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void linger() {
        closing = true;
        if (!lingering) {
            lingering = true;
            endRequests();
            LingeringClose.begin(channel, () -> cut("the caller has not closed in time"));
        }
    }

    /** Ends the requests whose responses can no longer be written, and the one that is being read. */
    private void endRequests() {
        head = null;
        awaitsContinue = false;
        releaseBody();
        List<Exchange> open = List.copyOf(exchanges);
        exchanges.clear();
        for (Exchange exchange : open) {
            releaseMemory(exchange);
            if (exchange.response.isUnfinished() || !exchange.response.isFullyWritten()) {
                exchange.onDisconnect.run();
            }
            exchange.response.discardQueued();
        }
    }

    /**
     * Closes the connection of a process that stops, if no request is in progress. One that has carried a response during the stop
     * lingers already. On any other one nothing is under way unless the socket has not taken all bytes: it is closed at
     * once, so that a request which crosses the close remains unread, and its caller may send it again.
     */
    void closeWhenIdle() {
        if (!isIdle() || lingering) {
            return;
        }
        if (hasPendingWrites()) {
            linger();
        } else {
            channel.close();
        }
    }

    /** Closes a connection without a request when its last response is older than the idle timeout. */
    private void closeIfQuiet() {
        if (!isIdle() || hasPendingWrites() || lingering) {
            return;
        }
        long idleNs = TimeUnit.MILLISECONDS.toNanos(server.idleTimeoutMs());
        long remainingNs = idleNs - (System.nanoTime() - lastWrittenNs);
        if (remainingNs <= 0) {
            channel.close();
            return;
        }
        long seenNs = lastWrittenNs;
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (lastWrittenNs == seenNs) {
                                closeIfQuiet();
                            }
                        },
                        remainingNs,
                        TimeUnit.NANOSECONDS);
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
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > server.maxBodyBytes()) {
            rejectTooLarge();
            return;
        }
        if (!server.memory().tryReserve((int) length, (int) length)) {
            refuse();
            return;
        }
        reservedBytes = (int) length;
        head = request;
        arrivedNs = server.lag().earliestArrivalNs();
        awaitsContinue = HttpUtil.is100ContinueExpected(request);
        sendContinueInTurn();
    }

    private void appendBody(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            rejectMalformed("malformed body: " + content.decoderResult().cause());
            return;
        }
        int size = body.readableBytes() + content.content().readableBytes();
        if (size > server.maxBodyBytes()) {
            rejectTooLarge();
            return;
        }
        if (size > reservedBytes) {
            // The length of a chunked body is not known before.
            if (!server.memory().tryReserve(size - reservedBytes, size)) {
                refuse();
                return;
            }
            reservedBytes = size;
        }
        if (content.content().isReadable()) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = Unpooled.buffer(reservedBytes);
            }
            body.writeBytes(content.content());
        }
        if (content instanceof LastHttpContent) {
            completeRequest();
        }
    }

    private void completeRequest() {
        awaitsContinue = false;
        HttpRequest httpRequest = head;
        byte[] bytes = ByteBufUtil.getBytes(body, body.readerIndex(), body.readableBytes(), false);
        head = null;
        Exchange exchange = addExchange(httpRequest.method().name().equals("HEAD"));
        exchange.reservedBytes = reservedBytes;
        reservedBytes = 0;
        releaseBody();
        updateReading();
        CallerRequest request = new CallerRequest(
                httpRequest.method().name(), httpRequest.uri(), httpRequest.headers(), bytes, arrivedNs);
        server.lag().runAfterPendingReads(() -> handle(request, exchange));
    }

    /**
     * Starts a request. One behind a response that is still streamed is deferred: if that response is truncated, the
     * connection ends, and a request that was started would be lost.
     */
    private void handle(CallerRequest request, Exchange exchange) {
        if (!exchanges.contains(exchange)) {
            return;
        }
        if (followsStreamedResponse(exchange)) {
            EventLog.log(LogEvent.REQUEST_DEFERRED, "uri", request.uri(), "ahead", exchanges.size() - 1);
            exchange.deferred = request;
            return;
        }
        exchange.onDisconnect = server.handler().handle(request, exchange.response);
    }

    private boolean followsStreamedResponse(Exchange exchange) {
        for (Exchange earlier : exchanges) {
            if (earlier == exchange) {
                return false;
            }
            if (earlier.response.isStreamed()) {
                return true;
            }
        }
        return false;
    }

    /** Starts the requests that were deferred because of a response which has ended. */
    void responseEnded() {
        if (exchanges.isEmpty()) {
            return;
        }
        for (Exchange exchange : List.copyOf(exchanges)) {
            CallerRequest request = exchange.deferred;
            if (request != null && !followsStreamedResponse(exchange)) {
                exchange.deferred = null;
                handle(request, exchange);
            }
        }
    }

    boolean hasRequestsBehind(CallerResponse response) {
        Exchange last = exchanges.peekLast();
        return last != null && last.response != response;
    }

    private void rejectTooLarge() {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body exceeds " + server.maxBodyBytes() + " bytes");
    }

    /** Refuses a request before its body is read. The connection is closed, since the body may follow. */
    private void refuse() {
        double seconds = RetryAfter.waitMs(RETRY_AFTER_MS, 0, Math.random()) / 1000.0;
        Header retryAfter = new Header("Retry-After", String.valueOf(seconds));
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory", List.of(retryAfter));
    }

    private void rejectMalformed(String detail) {
        reject(HttpResponseStatus.BAD_REQUEST, detail);
    }

    /**
     * Sends an error response after the responses to earlier requests, then closes the connection. The response says so, because
     * what the caller sends behind it is not read.
     */
    private void reject(HttpResponseStatus status, String detail) {
        reject(status, detail, List.of());
    }

    private void reject(HttpResponseStatus status, String detail, List<Header> headers) {
        EventLog.log(LogEvent.REQUEST_REJECTED, "status", status.code(), "cause", detail);
        head = null;
        awaitsContinue = false;
        releaseBody();
        closing = true;
        List<Header> closingHeaders = new ArrayList<>(headers);
        closingHeaders.add(new Header("Connection", "close"));
        addExchange(false).response.send(status.code(), closingHeaders, new byte[0]);
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
        server.memory().requests().release(reservedBytes);
        reservedBytes = 0;
    }

    private void releaseMemory(Exchange exchange) {
        server.memory().requests().release(exchange.reservedBytes);
        exchange.reservedBytes = 0;
    }

    /** Drops input, so that the connection ends by the close of its peer, not by a reset because of unread bytes. */
    private static final class DiscardingHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }
    }

    private static final class Exchange {
        private final CallerResponse response;
        private Runnable onDisconnect = () -> {};
        /** Request that waits for a streamed response ahead of it; null once it is started. */
        private CallerRequest deferred;

        /** Memory reserved for the body of the request. */
        private int reservedBytes;

        private Exchange(CallerResponse response) {
            this.response = response;
        }
    }
}
