package org.siskintiller.router;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.Future;

/**
 * Closes a connection so that the peer receives all that was written to it: the output first, once the socket has taken every byte, and
 * the connection when the peer has read to the end and closed its side. A socket that is closed while input is unread, or under
 * way, resets the connection instead, which drops the bytes that have not arrived.
 */
public final class LingeringClose {
    /** Longer than the deadlines of requests: a peer that has not closed by then does not wait for a response any more. */
    public static final long LIMIT_MS = 10_000;

    private LingeringClose() {}

    /**
     * Begins to close the connection. The input has to be discarded from now on.
     *
     * @param expired runs when the peer has not closed in time, and closes the connection
     */
    public static void begin(Channel channel, Runnable expired) {
        // A connection that is not read does not notice that the peer has closed.
        channel.config().setAutoRead(true);
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(written -> shutDownOutput(channel, written));
        Future<?> limit = channel.eventLoop().schedule(expired, LIMIT_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> limit.cancel(false));
    }

    private static void shutDownOutput(Channel channel, Future<?> written) {
        if (written.isSuccess()) {
            ((DuplexChannel) channel).shutdownOutput();
        }
    }
}
