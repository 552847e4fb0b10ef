package org.siskintiller.router.backend;

import java.io.ByteArrayOutputStream;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.siskintiller.core.path.CarriedIds;
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.ResponseDecoder;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Header;
import org.siskintiller.router.request.HeaderNames;
import org.siskintiller.router.request.HopByHopHeaders;
import org.siskintiller.router.request.ResponseHead;

/**
 * Connection to the backend server, which carries one request at a time. A response is accepted only if it has the id
 * of the request, and the connection carries each id once, since an earlier response may be written again. Bytes that arrive
 * while no request is in progress close the connection.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter implements ResponseDecoder.Receiver {
    private static final int MISDIRECTED = 421;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int FIRST_ERROR_STATUS = 400;
    /** Idle time after which a connection is not reused when the backend server stated no timeout. */
    private static final long DEFAULT_IDLE_TIMEOUT_NS = 500_000_000L;
    /** A connection is not reused in the last part of a stated idle timeout: the backend server may be closing it. */
    private static final long IDLE_MARGIN_NS = 1_000_000_000L;
    /** Limit of the bytes that precede the head of a response, such as a late response to an earlier request. */
    private static final int MAX_BYTES_BEFORE_RESPONSE = 1024 * 1024;
    /** Limit of the body of a rejection, which is read so that the connection can be reused. */
    private static final int MAX_REJECTION_BYTES = 64 * 1024;

    private static final int MAX_INTERIM_RESPONSES = 16;
    /** Chunks that arrive together are joined up to this size. */
    private static final int MAX_PART_BYTES = 16 * 1024;

    private final HeaderNames names;
    private final BackendPool pool;
    private final CarriedIds carriedIds = new CarriedIds();
    private Channel channel;
    private BackendExchange exchange;
    private boolean discarding;
    /** Whether the rest of a rejection is being read. Its exchange has ended. */
    private boolean draining;

    private boolean responseStarted;
    private boolean hasEndedExchange;
    private int surplusBytes;
    private int interimResponses;
    private int status;
    private boolean reusable = true;
    private boolean closeDelimited;
    private boolean readFailed;
    private final FlowWindow window = new FlowWindow();
    /** Bytes of the present read that were not passed on yet. */
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

    private long reusableUntilNs;

    BackendConnection(HeaderNames names, BackendPool pool) {
        this.names = names;
        this.pool = pool;
    }

    void attach(Channel newChannel) {
        channel = newChannel;
    }

    boolean isReusable(long nowNs) {
        return channel.isActive() && exchange == null && !draining && reusable && nowNs < reusableUntilNs;
    }

    /** Whether the request was sent on the connection before. */
    boolean hasCarried(String requestId) {
        return carriedIds.contains(requestId);
    }

    /** Sends a request. The exchange receives the response, a rejection or a failure. */
    void send(BackendExchange newExchange, long nowNs) {
        exchange = newExchange;
        responseStarted = false;
        surplusBytes = 0;
        interimResponses = 0;
        window.clear();
        collected.reset();
        ForwardedRequest request = newExchange.request();
        carriedIds.add(request.requestId(), request.deadlineNs(), nowNs);
        ByteBuf body = request.body().length == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(request.body());
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.uri(), body);
        HttpHeaders headers = message.headers();
        for (Header header : request.headers()) {
            headers.add(header.name(), header.value());
        }
        long remainingMs = Math.max(1, TimeUnit.NANOSECONDS.toMillis(request.deadlineNs() - nowNs));
        headers.set(names.deadlineMs(), remainingMs);
        headers.set(names.expectedInstance(), newExchange.expectedInstance());
        if (request.body().length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        } else if (!request.method().equals("GET") && !request.method().equals("HEAD")) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, 0);
        }
        channel.writeAndFlush(message).addListener(sent -> {
            if (!sent.isSuccess()) {
                fail("the request could not be written: " + sent.cause());
            }
        });
    }

    void credit(int bytes) {
        window.taken(bytes);
        if (!window.isFull() && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
    }

    /** Closes the connection, which cancels the request at the backend server. */
    void abort() {
        exchange = null;
        close();
    }

    void close() {
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public boolean awaitsBytes() {
        return exchange != null || draining;
    }

    @Override
    public boolean awaitsNoBody() {
        return exchange != null && exchange.request().method().equals("HEAD");
    }

    @Override
    public void unexpectedBytesReceived() {
        discardAndClose("bytes without a request");
    }

    /** Counts decoded bytes. Those of a response that is passed on are limited by its receiver. */
    @Override
    public void bytesDecoded(int bytes) {
        if (exchange != null && responseStarted || !awaitsBytes()) {
            return;
        }
        surplusBytes += bytes;
        if (surplusBytes > (draining ? MAX_REJECTION_BYTES : MAX_BYTES_BEFORE_RESPONSE)) {
            discardAndClose(surplusBytes + " bytes that belong to no response");
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpResponse response) {
                handleHead(response);
            }
            if (message instanceof HttpContent content) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the connection to the backend server ended before the response was complete");
        pool.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        readFailed = true;
        fail("the connection to the backend server failed: " + cause.getMessage());
        context.close();
    }

    private void handleHead(HttpResponse response) {
        if (exchange == null || response.decoderResult().isFailure()) {
            discardAndClose(
                    exchange == null
                            ? "response without a request"
                            : "malformed response: " + response.decoderResult());
            return;
        }
        status = response.status().code();
        discarding = false;
        if (status < FIRST_FINAL_STATUS) {
            discarding = true;
            if (++interimResponses > MAX_INTERIM_RESPONSES) {
                discardAndClose("more than " + MAX_INTERIM_RESPONSES + " interim responses");
            }
            return;
        }
        reportLoad(response.headers());
        updateReusability(response);
        String id = response.headers().get(names.requestId());
        if (!exchange.request().requestId().equals(id) && !mayLackId(id)) {
            EventLog.log(
                    LogEvent.RESPONSE_DISCARDED,
                    "request",
                    exchange.request().requestId(),
                    "received_for",
                    id,
                    "status",
                    status);
            discarding = true;
            reusable = false;
            return;
        }
        if (status == MISDIRECTED || response.headers().contains(names.notExecuted())) {
            draining = true;
            endExchange().rejected(status);
            return;
        }
        responseStarted = true;
        long length = HttpUtil.isTransferEncodingChunked(response)
                ? ResponseHead.UNKNOWN_LENGTH
                : HttpUtil.getContentLength(response, ResponseHead.UNKNOWN_LENGTH);
        exchange.started(new ResponseHead(status, HopByHopHeaders.endToEnd(response.headers(), Set.of()), length));
    }

    /**
     * Whether a response without an id may belong to the request. A full backend server may reject a request before it has
     * parsed it. On a reused connection such a response may be a repeated one to an earlier request.
     */
    private boolean mayLackId(String id) {
        return id == null && status >= FIRST_ERROR_STATUS && !hasEndedExchange;
    }

    private void handleContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (draining) {
            drain(content, last);
            return;
        }
        if (exchange == null) {
            return;
        }
        if (content.decoderResult().isFailure() || last && closeDelimited && readFailed) {
            fail("the response of the backend server is malformed: " + content.decoderResult());
            close();
            return;
        }
        if (discarding) {
            discarding = !last;
            return;
        }
        collect(content.content());
        if (last) {
            byte[] data = takeCollected();
            BackendExchange endedExchange = endExchange();
            endedExchange.data(data, true);
            pool.release(this);
        } else if (collected.size() >= MAX_PART_BYTES) {
            passOnCollected();
        }
    }

    /** Joins the chunks of one read: a chunk may consist of one byte. */
    private void collect(ByteBuf content) {
        byte[] data = ByteBufUtil.getBytes(content);
        collected.write(data, 0, data.length);
    }

    private byte[] takeCollected() {
        byte[] data = collected.toByteArray();
        collected.reset();
        return data;
    }

    private void passOnCollected() {
        if (exchange == null || collected.size() == 0) {
            return;
        }
        byte[] data = takeCollected();
        window.read(data.length);
        if (window.isFull()) {
            channel.config().setAutoRead(false);
        }
        exchange.data(data, false);
    }

    /** Passes on what has arrived together. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passOnCollected();
        context.fireChannelReadComplete();
    }

    /** Reads on after a rejection, so that the connection can be reused. */
    private void drain(HttpContent content, boolean last) {
        if (content.decoderResult().isFailure()) {
            close();
        } else if (last) {
            draining = false;
            pool.release(this);
        }
    }

    private BackendExchange endExchange() {
        BackendExchange endedExchange = exchange;
        exchange = null;
        hasEndedExchange = true;
        surplusBytes = 0;
        channel.config().setAutoRead(true);
        if (!reusable) {
            close();
        }
        return endedExchange;
    }

    private void updateReusability(HttpResponse response) {
        closeDelimited = !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response);
        if (!HttpUtil.isKeepAlive(response) || closeDelimited) {
            reusable = false;
        }
        reusableUntilNs = System.nanoTime() + idleTimeoutNs(response.headers().get("keep-alive"));
    }

    private static long idleTimeoutNs(String keepAlive) {
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (at < 0) {
            return DEFAULT_IDLE_TIMEOUT_NS;
        }
        String digits = keepAlive.substring(at + "timeout=".length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return DEFAULT_IDLE_TIMEOUT_NS;
        }
        long statedNs = TimeUnit.SECONDS.toNanos(Long.parseLong(digits));
        return Math.max(DEFAULT_IDLE_TIMEOUT_NS, statedNs - IDLE_MARGIN_NS);
    }

    private void reportLoad(HttpHeaders headers) {
        String value = headers.get(names.load());
        if (value == null) {
            return;
        }
        String[] parts = value.split(",");
        try {
            exchange.loadReported(
                    Integer.parseInt(parts[0].trim()),
                    Integer.parseInt(parts[1].trim()),
                    Integer.parseInt(parts[2].trim()),
                    parts.length > 3 ? workPercent(parts[3].trim()) : 0);
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            EventLog.log(LogEvent.BACKEND_LOAD_FAILED, "value", value, "cause", e.getMessage());
        }
    }

    /** Returns the fourth figure of the load, 0 for one that is no number: the others count without it. */
    private static int workPercent(String figure) {
        try {
            return (int) Math.min(Integer.MAX_VALUE, Math.round(Double.parseDouble(figure)));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void discardAndClose(String detail) {
        EventLog.log(LogEvent.RESPONSE_DISCARDED, "detail", detail, "reused", reusableUntilNs != 0);
        fail(detail);
        close();
    }

    private void fail(String detail) {
        BackendExchange failedExchange = exchange;
        exchange = null;
        reusable = false;
        if (failedExchange != null) {
            failedExchange.connectionFailed(detail);
        }
    }
}
