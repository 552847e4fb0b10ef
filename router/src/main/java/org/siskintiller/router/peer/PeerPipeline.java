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
    private static final int MAX_FRAME_BYTES = 5 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    /** Maximum number of flushes that are combined, because each flush is a system call. */
    private static final int MAX_FLUSHES_COMBINED = 64;

    private PeerPipeline() {}

    static void add(ChannelPipeline pipeline, ChannelHandler handler) {
        pipeline.addLast(new FlushConsolidationHandler(MAX_FLUSHES_COMBINED, true));
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(handler);
    }
}
