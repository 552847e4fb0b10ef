package org.siskintiller.router;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a server and reports the bytes that belong to none. Netty skips line breaks and control
 * characters between responses without limit, and keeps an incomplete line for the next response.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADER_BYTES = 65_536;

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
