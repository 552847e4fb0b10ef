package org.siskintiller.router.ingress;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.IntConsumer;

import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.siskintiller.router.request.Header;
import org.siskintiller.router.request.ResponseHead;

/** Response to one request. It is written when the responses to all earlier requests of the connection are complete. */
public final class CallerResponse {
    private final CallerConnection connection;
    private final Deque<HttpObject> queuedMessages = new ArrayDeque<>();
    private IntConsumer bodyWrittenListener = bytes -> {};
    private boolean first;
    private boolean started;
    private boolean written;
    private boolean complete;
    private final boolean headRequest;

    CallerResponse(CallerConnection connection, boolean headRequest) {
        this.connection = connection;
        this.headRequest = headRequest;
    }

    /** Registers a listener that receives the number of bytes of the body that were written to the caller. */
    public void onWritten(IntConsumer listener) {
        bodyWrittenListener = listener;
    }

    /** Sends a complete response. */
    public void send(int status, List<Header> headers, byte[] body) {
        DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        addHeaders(message.headers(), headers);
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        complete = true;
        writeOrQueue(message);
    }

    /** Starts a response whose body follows. */
    public void start(ResponseHead head) {
        started = true;
        DefaultHttpResponse message =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()));
        addHeaders(message.headers(), head.headers());
        if (head.length() == ResponseHead.UNKNOWN_LENGTH) {
            if (!headRequest) {
                message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
        } else {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, head.length());
        }
        writeOrQueue(message);
    }

    public void data(byte[] data, boolean last) {
        complete = complete || last;
        writeOrQueue(
                last
                        ? new DefaultLastHttpContent(Unpooled.wrappedBuffer(data))
                        : new DefaultHttpContent(Unpooled.wrappedBuffer(data)));
        if (last) {
            connection.responseEnded();
        }
    }

    /** Whether requests that arrived later on the connection wait for their responses. */
    public boolean hasRequestsBehind() {
        return connection.hasRequestsBehind(this);
    }

    /**
     * Withdraws a response that was started, so that another one can take its place.
     *
     * @return false if the caller may have received a part of it
     */
    public boolean withdraw() {
        if (written) {
            return false;
        }
        started = false;
        discardQueued();
        connection.responseEnded();
        return true;
    }

    /** Releases the parts that were not written. */
    void discardQueued() {
        for (HttpObject message : queuedMessages) {
            connection.taken(bytes(message));
            ReferenceCountUtil.release(message);
        }
        queuedMessages.clear();
    }

    /**
     * Aborts a response that cannot be completed. Closes the connection, so that the caller detects the abort. If nothing has
     * been written, {@link #withdraw} spares the responses to earlier requests.
     */
    public void abort() {
        complete = true;
        connection.abort();
    }

    /** Whether the caller may have received a part of the response. */
    public boolean isBegun() {
        return written;
    }

    boolean isFullyWritten() {
        return complete && queuedMessages.isEmpty();
    }

    /** Whether parts of the response are still to come, so that it may be truncated. */
    boolean isStreamed() {
        return started && !complete;
    }

    boolean isUnfinished() {
        return !complete;
    }

    /** Makes this the first response of the connection and writes its queued messages. */
    void becomeFirst(Channel channel) {
        first = true;
        while (!queuedMessages.isEmpty()) {
            write(channel, queuedMessages.poll());
        }
    }

    private void writeOrQueue(HttpObject message) {
        connection.buffered(bytes(message));
        if (!first) {
            queuedMessages.add(message);
            return;
        }
        write(connection.channel(), message);
        connection.writeNextResponse();
    }

    private void write(Channel channel, HttpObject message) {
        written = true;
        if (message instanceof DefaultHttpResponse response) {
            connection.closeIfStopping(response.headers());
        }
        int bytes = bytes(message);
        boolean isPart = message instanceof DefaultHttpContent;
        ChannelFuture future = channel.writeAndFlush(message).addListener(result -> {
            connection.taken(bytes);
            if (result.isSuccess() && isPart && bytes > 0) {
                bodyWrittenListener.accept(bytes);
            }
        });
        if (message instanceof LastHttpContent) {
            connection.responseWritten(future);
        }
    }

    private static int bytes(HttpObject message) {
        return message instanceof ByteBufHolder holder ? holder.content().readableBytes() : 0;
    }

    private static void addHeaders(HttpHeaders target, List<Header> headers) {
        for (Header header : headers) {
            target.add(header.name(), header.value());
        }
    }
}
