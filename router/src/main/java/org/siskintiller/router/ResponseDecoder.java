package org.siskintiller.router;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a server, rejects statuses outside the protocol and reports the bytes that belong to no response.
 * Netty skips line breaks and control characters between responses without limit, and keeps an incomplete line for the next
 * response.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADER_BYTES = 65_536;
    /** Statuses of HTTP are from 100 to 599 (RFC 9110, section 15). */
    private static final int MIN_STATUS = 100;

    private static final int MAX_STATUS = 599;

    private final Receiver receiver;

    public ResponseDecoder(Receiver receiver) {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
        this.receiver = receiver;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (!buffer.isReadable()) {
            super.decode(context, buffer, out);
            return;
        }
        if (!receiver.awaitsBytes()) {
            buffer.skipBytes(buffer.readableBytes());
            receiver.unexpectedBytesReceived();
            return;
        }
        int before = buffer.readableBytes();
        super.decode(context, buffer, out);
        receiver.bytesDecoded(before - buffer.readableBytes());
    }

    /** Makes a response with a status outside the protocol malformed, which a server in trouble may send as 000. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        int status = Integer.parseInt(initialLine[1]);
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw new IllegalArgumentException("status " + initialLine[1] + " is outside 100 to 599");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return receiver.awaitsNoBody() || super.isContentAlwaysEmpty(message);
    }

    /** Side that sent the requests of the connection. */
    public interface Receiver {
        /** Whether bytes that are received now can belong to a response. */
        boolean awaitsBytes();

        /** Whether the response has no body because of the method of its request. */
        boolean awaitsNoBody();

        /** Bytes arrived although no response is awaited. */
        void unexpectedBytesReceived();

        /** Counts bytes of a response, or of what precedes it. */
        void bytesDecoded(int bytes);
    }
}
