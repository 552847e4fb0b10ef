package org.siskintiller.router.peer;

import io.netty.channel.Channel;

/** Body of a request that is sent in parts to another companion, as that companion gives credit and the link has room. */
final class OutgoingBody implements LinkPacer.PartSender {
    private final int stream;
    private final byte[] bytes;
    private final Channel channel;
    private final LinkPacer pacer;
    private int allowed;
    private int sent;
    private boolean dropped;

    OutgoingBody(int stream, byte[] bytes, Channel channel, LinkPacer pacer) {
        this.stream = stream;
        this.bytes = bytes;
        this.channel = channel;
        this.pacer = pacer;
    }

    void credit(int credited) {
        int more = Math.min(credited, bytes.length - allowed);
        if (more > 0 && !dropped) {
            allowed += more;
            pacer.add(this, more);
        }
    }

    @Override
    public void send(int partBytes) {
        channel.writeAndFlush(Frames.requestData(stream, bytes, sent, partBytes));
        sent += partBytes;
    }

    /** Whether all parts were handed to the connection. Before that, the request has surely not run. */
    boolean isSent() {
        return sent == bytes.length;
    }

    /** Drops the parts that still wait. Nothing is sent afterwards. */
    void drop() {
        dropped = true;
        pacer.remove(this);
    }
}
