package org.siskintiller.router;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.AttributeKey;

/**
 * Limits what a server may send in response to one request, and raises an exception on its connection when it sends
 * more or sends bytes without a request. For small responses, which are read as a whole.
 */
public final class ResponseLimit implements ResponseDecoder.Receiver {
    private static final AttributeKey<ResponseLimit> KEY = AttributeKey.valueOf("response-limit");
    /** Interim responses that may precede the final one. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final int FIRST_FINAL_STATUS = 200;
    /** Room for the head and the lengths of chunks. */
    private static final int FRAMING_BYTES = 128 * 1024;

    private final Channel channel;
    private final int maxBytes;
    private boolean awaiting;
    private int bytes;
    private int interimResponses;

    private ResponseLimit(Channel channel, int maxBytes) {
        this.channel = channel;
        this.maxBytes = maxBytes;
    }

    /** Adds the handlers that encode requests and decode whole responses of limited size. */
    public static void addHandlers(Channel channel, int maxBodyBytes) {
        ResponseLimit limit = new ResponseLimit(channel, maxBodyBytes + FRAMING_BYTES);
        channel.attr(KEY).set(limit);
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new HttpRequestEncoder(), new ResponseDecoder(limit), new HttpObjectAggregator(maxBodyBytes));
    }

    /** Awaits the response to a request that is being sent. */
    public static void requestSent(Channel channel) {
        ResponseLimit limit = channel.attr(KEY).get();
        limit.awaiting = true;
        limit.bytes = 0;
        limit.interimResponses = 0;
    }

    /** Awaits nothing until the next request. */
    public static void responseReceived(Channel channel) {
        channel.attr(KEY).get().awaiting = false;
    }

    /** Whether a response precedes the final one. Rejects too many of them. */
    public static boolean isInterim(Channel channel, int status) {
        if (status >= FIRST_FINAL_STATUS) {
            return false;
        }
        if (++channel.attr(KEY).get().interimResponses > MAX_INTERIM_RESPONSES) {
            channel.attr(KEY).get().reject("too many interim responses");
        }
        return true;
    }

    @Override
    public boolean awaitsBytes() {
        return awaiting;
    }

    @Override
    public boolean awaitsNoBody() {
        return false;
    }

    @Override
    public void unexpectedBytesReceived() {
        reject("bytes without a request");
    }

    @Override
    public void bytesDecoded(int decoded) {
        bytes += decoded;
        if (bytes > maxBytes) {
            reject("more than " + maxBytes + " bytes in response to a request");
        }
    }

    /** Lets the last handler of the connection end its request and close the connection. */
    private void reject(String cause) {
        channel.pipeline().fireExceptionCaught(new CorruptedFrameException(cause));
    }
}
