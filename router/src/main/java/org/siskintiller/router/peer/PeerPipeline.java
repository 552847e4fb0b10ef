package org.siskintiller.router.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.siskintiller.wire.companion.CompanionProto.Frame;

/** Framing between companions: a length of four bytes, then a protobuf message. */
final class PeerPipeline {
    /** A request body of 4 MiB with its headers fits. */
    static final int MAX_REQUEST_FRAME_BYTES = 5 * 1024 * 1024;
    /** Parts of a response are smaller; the key tables in the response to a renewal take some 100 KB. */
    static final int MAX_RESPONSE_FRAME_BYTES = 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    /** Maximum number of flushes that are combined, because each flush is a system call. */
    private static final int MAX_FLUSHES_COMBINED = 64;

    private PeerPipeline() {}

    /** Adds the handlers of a connection. The side that connected receives smaller frames than the other one. */
    static void add(ChannelPipeline pipeline, int maxFrameBytes, FrameMeter meter, ChannelHandler handler) {
        pipeline.addLast(new FlushConsolidationHandler(MAX_FLUSHES_COMBINED, true));
        pipeline.addLast(new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(meter);
        pipeline.addLast(handler);
    }
}
