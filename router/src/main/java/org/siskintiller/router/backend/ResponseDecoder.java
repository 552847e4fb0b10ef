package org.siskintiller.router.backend;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a backend server and limits the bytes that belong to none. Netty skips line breaks and control
 * characters between responses without limit, and keeps an incomplete line for the next response.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADER_BYTES = 65_536;

    private final BackendConnection connection;

    ResponseDecoder(BackendConnection connection) {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
        this.connection = connection;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (!buffer.isReadable()) {
            super.decode(context, buffer, out);
            return;
        }
        if (!connection.awaitsBytes()) {
            buffer.skipBytes(buffer.readableBytes());
            connection.unexpectedBytesReceived();
            return;
        }
        int before = buffer.readableBytes();
        super.decode(context, buffer, out);
        connection.bytesDecoded(before - buffer.readableBytes());
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return connection.awaitsNoBody() || super.isContentAlwaysEmpty(message);
    }
}
