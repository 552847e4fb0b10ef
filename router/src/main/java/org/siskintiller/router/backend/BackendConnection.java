package org.siskintiller.router.backend;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
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
import org.siskintiller.node.EventLog;
import org.siskintiller.node.LogEvent;
import org.siskintiller.router.request.Destination;
import org.siskintiller.router.request.ForwardedRequest;
import org.siskintiller.router.request.Header;
import org.siskintiller.router.request.HeaderNames;
import org.siskintiller.router.request.HopByHopHeaders;
import org.siskintiller.router.request.ResponseHead;

/**
 * Connection to the backend server. It carries one request at a time. A response counts only if it repeats the id of
 * the request; bytes that arrive outside a request close the connection.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    private static final int MISDIRECTED = 421;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int FIRST_ERROR_STATUS = 400;
    /** Idle time after which a connection without a stated timeout is not used again. */
    private static final long UNSTATED_IDLE_NS = 500_000_000L;
    /** A connection is not used in the last part of its stated idle timeout, when the other side may be closing it. */
    private static final long IDLE_MARGIN_NS = 1_000_000_000L;

    private final HeaderNames names;
    private final BackendPool pool;
    private Channel channel;
    private BackendExchange exchange;
    private boolean skipping;
    private boolean rejected;
    private int status;
    private boolean reusable = true;
    private boolean closeDelimited;
    private boolean readFailed;
    private int unacknowledged;
    private long idleUntilNs;

    BackendConnection(HeaderNames names, BackendPool pool) {
        this.names = names;
        this.pool = pool;
    }

    void attach(Channel newChannel) {
        channel = newChannel;
    }

    boolean usable(long nowNs) {
        return channel.isActive() && exchange == null && reusable && nowNs < idleUntilNs;
    }

    /** Sends a request. The exchange hears of a response, a rejection or a failure. */
    void send(BackendExchange next, long nowNs) {
        exchange = next;
        unacknowledged = 0;
        ForwardedRequest request = next.request();
        ByteBuf body = request.body().length == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(request.body());
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.uri(), body);
        HttpHeaders headers = message.headers();
        for (Header header : request.headers()) {
            headers.add(header.name(), header.value());
        }
        long leftMs = Math.max(1, TimeUnit.NANOSECONDS.toMillis(request.deadlineNs() - nowNs));
        headers.set(names.deadlineMs(), leftMs);
        headers.set(names.expectedInstance(), next.expectedInstance());
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
        unacknowledged -= bytes;
        if (unacknowledged < Destination.WINDOW_BYTES && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
    }

    /** Closes the connection, which tells the backend server to drop the request. */
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
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpResponse response) {
                head(response);
            }
            if (message instanceof HttpContent content) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("the connection to the backend server ended before the response was complete");
        pool.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        readFailed = true;
        fail("the connection to the backend server failed: " + cause.getMessage());
        context.close();
    }

    private void head(HttpResponse response) {
        if (exchange == null || response.decoderResult().isFailure()) {
            discardAndClose(
                    exchange == null ? "response without a request" : "not a response: " + response.decoderResult());
            return;
        }
        status = response.status().code();
        skipping = false;
        if (status < FIRST_FINAL_STATUS) {
            skipping = true;
            return;
        }
        reportLoad(response.headers());
        noteLifetime(response);
        String id = response.headers().get(names.requestId());
        boolean own = exchange.request().requestId().equals(id);
        // Only an error may lack the id: a backend server that is full may reject a request before it has parsed it.
        if (!own && (id != null || status < FIRST_ERROR_STATUS)) {
            EventLog.log(
                    LogEvent.RESPONSE_DISCARDED,
                    "request",
                    exchange.request().requestId(),
                    "received_for",
                    id,
                    "status",
                    status);
            skipping = true;
            reusable = false;
            return;
        }
        rejected = status == MISDIRECTED || response.headers().contains(names.notExecuted());
        if (!rejected) {
            long length = HttpUtil.isTransferEncodingChunked(response)
                    ? ResponseHead.UNKNOWN_LENGTH
                    : HttpUtil.getContentLength(response, ResponseHead.UNKNOWN_LENGTH);
            exchange.started(new ResponseHead(status, HopByHopHeaders.endToEnd(response.headers(), Set.of()), length));
        }
    }

    private void content(HttpContent content) {
        if (exchange == null) {
            if (content.content().isReadable()) {
                discardAndClose("bytes without a request");
            }
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (content.decoderResult().isFailure() || last && closeDelimited && readFailed) {
            fail("the response of the backend server is broken: " + content.decoderResult());
            close();
            return;
        }
        if (skipping) {
            skipping = !last;
            return;
        }
        if (rejected) {
            if (last) {
                BackendExchange done = finish();
                done.rejected(status);
                pool.released(this);
            }
            return;
        }
        byte[] data = new byte[content.content().readableBytes()];
        content.content().readBytes(data);
        if (!last) {
            unacknowledged += data.length;
            if (unacknowledged >= Destination.WINDOW_BYTES) {
                channel.config().setAutoRead(false);
            }
            exchange.data(data, false);
            return;
        }
        BackendExchange done = finish();
        done.data(data, true);
        pool.released(this);
    }

    private BackendExchange finish() {
        BackendExchange done = exchange;
        exchange = null;
        rejected = false;
        channel.config().setAutoRead(true);
        if (!reusable) {
            close();
        }
        return done;
    }

    private void noteLifetime(HttpResponse response) {
        closeDelimited = !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response);
        if (!HttpUtil.isKeepAlive(response) || closeDelimited) {
            reusable = false;
        }
        idleUntilNs = System.nanoTime() + idleTime(response.headers().get("keep-alive"));
    }

    private static long idleTime(String keepAlive) {
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (at < 0) {
            return UNSTATED_IDLE_NS;
        }
        String digits = keepAlive.substring(at + "timeout=".length()).split("[^0-9]", 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return UNSTATED_IDLE_NS;
        }
        long statedNs = TimeUnit.SECONDS.toNanos(Long.parseLong(digits));
        return Math.max(UNSTATED_IDLE_NS, statedNs - IDLE_MARGIN_NS);
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
                    Integer.parseInt(parts[2].trim()));
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            EventLog.log(LogEvent.BACKEND_LOAD_FAILED, "value", value, "cause", e.getMessage());
        }
    }

    private void discardAndClose(String detail) {
        EventLog.log(LogEvent.RESPONSE_DISCARDED, "detail", detail, "reused", idleUntilNs != 0);
        fail(detail);
        close();
    }

    private void fail(String detail) {
        BackendExchange failed = exchange;
        exchange = null;
        reusable = false;
        if (failed != null) {
            failed.broken(detail);
        }
    }
}
